package org.bronzetide.coordination

import kotlinx.serialization.Serializable

/**
 * Says whether a request may have run on a target.
 *
 * A verdict is a promise to the caller: [NotRun] is given only where nothing was handed to a
 * target, and [MayHaveRun] wherever that is in doubt.
 */
@Serializable
public sealed class Verdict {
    /** The request ran and its answer is complete. */
    @Serializable
    public data object Ran : Verdict()

    /** The request surely did not run, for [reason]; it may be sent again. */
    @Serializable
    public data class NotRun(val reason: RefusalReason) : Verdict()

    /** The request was handed to a target, or may have been; [detail] says what was last known. */
    @Serializable
    public data class MayHaveRun(val detail: String) : Verdict()

    /** The name used in headers, bodies and ledger lines. */
    public val label: String
        get() = when (this) {
            is Ran -> "Ran"
            is NotRun -> "NotRun"
            is MayHaveRun -> "MayHaveRun"
        }

    /** A short explanation, empty for [Ran]. */
    public val explanation: String
        get() = when (this) {
            is Ran -> ""
            is NotRun -> reason.label
            is MayHaveRun -> detail
        }
}
