package org.bronzetide.coordination

import kotlinx.serialization.Serializable

/**
 * States whether a request may have run on a target.
 *
 * Callers rely on it: [NotRun] is returned only if nothing was handed to a target, and
 * [MayHaveRun] whenever that is in doubt.
 */
@Serializable
public sealed class Verdict {
    /** The request ran and its response is complete. */
    @Serializable
    public data object Ran : Verdict()

    /** The request certainly did not run because of [reason]. It is safe to retry. */
    @Serializable
    public data class NotRun(val reason: RefusalReason) : Verdict()

    /** The request was or may have been handed to a target. [detail] is the last known state. */
    @Serializable
    public data class MayHaveRun(val detail: String) : Verdict()

    /** The name used in headers, response bodies and ledger lines. */
    public val label: String
        get() = when (this) {
            is Ran -> "Ran"
            is NotRun -> "NotRun"
            is MayHaveRun -> "MayHaveRun"
        }

    /** A short explanation. Empty for [Ran]. */
    public val explanation: String
        get() = when (this) {
            is Ran -> ""
            is NotRun -> reason.label
            is MayHaveRun -> detail
        }
}
