package org.bronzetide.cli

/** The exit codes of the operators' command line. */
object ExitCodes {
    /** The node could not be reached, or its store did not answer. */
    const val UNAVAILABLE: Int = 1

    /** The arguments, the intent or the plan are invalid; nothing changed. */
    const val INVALID: Int = 2

    /** Objects of the plan were changed by somebody else; nothing changed. */
    const val CONFLICT: Int = 3

    /** The outcome of a confirm is not known; confirm the same plan again. */
    const val UNKNOWN: Int = 4
}
