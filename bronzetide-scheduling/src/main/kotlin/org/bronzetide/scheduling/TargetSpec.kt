package org.bronzetide.scheduling

import org.bronzetide.model.TargetId

/** A target as given by the host list. */
public data class TargetSpec(
    val id: TargetId,
    /** Whether the target finishes its running requests but must get no new ones. */
    val isLeaving: Boolean = false
)

/** How a dispatched request ended, as observed by the node that dispatched it. */
public data class Release(
    val outcome: ReleaseOutcome,
    val promptTokens: Int = 0,
    val outputTokens: Int = 0,
    /** The milliseconds from dispatch to the first token, or to the response of a service. */
    val firstTokenMs: Long = 0,
    val durationMs: Long = 0
)

/** The ways in which a dispatched request can end. */
public enum class ReleaseOutcome {
    /** The response is complete. */
    FINISHED,

    /** The target failed the request or broke off the response. */
    FAILED,

    /** The target could not be reached and received nothing. */
    UNREACHABLE,

    /** The caller disconnected or the grant was not used; does not count against the target. */
    CANCELLED
}
