package org.bronzetide.scheduling

import org.bronzetide.model.TargetId

/** A target as the host list shows it. */
public data class TargetSpec(
    val id: TargetId,
    /** Whether the target finishes what it has but must get no new work. */
    val isLeaving: Boolean = false
)

/** How a dispatched request ended, as the node that dispatched it saw it. */
public data class Release(
    val outcome: ReleaseOutcome,
    val promptTokens: Int = 0,
    val outputTokens: Int = 0,
    /** The time from dispatch to the first token, or to the answer of a service. */
    val firstTokenMs: Long = 0,
    val durationMs: Long = 0
)

/** The kinds of ends that a dispatched request can have. */
public enum class ReleaseOutcome {
    /** The answer is complete. */
    FINISHED,

    /** The target failed the request or broke off. */
    FAILED,

    /** The target could not be reached; nothing was handed over. */
    UNREACHABLE,

    /** The caller went away or the grant was not used; says nothing of the target. */
    CANCELLED
}
