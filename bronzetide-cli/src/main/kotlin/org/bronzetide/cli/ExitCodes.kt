package org.bronzetide.cli

/** The exit codes of the operators' command line. */
object ExitCodes {
    /** The node could not be reached, or the platform's store did not respond. */
    const val UNAVAILABLE: Int = 1

    /** The arguments, the operator's key, the intent or the plan are invalid; nothing changed. */
    const val INVALID: Int = 2

    /** Another operator changed objects of the plan after it was made; nothing changed. */
    const val CONFLICT: Int = 3

    /** The outcome of a confirm is unknown; confirming the same plan again is safe. */
    const val UNKNOWN: Int = 4
}
