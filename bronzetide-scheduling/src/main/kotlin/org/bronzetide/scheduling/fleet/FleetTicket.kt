package org.bronzetide.scheduling.fleet

/** A request's wish to be sent to a target of [service]. Times are on the scheduler's clock. */
public data class FleetTicket(
    val sequence: Long,
    val service: String,
    /** 0 is the most urgent. */
    val priority: Int,
    val promptTokens: Int,
    /** The pieces in which the answer is expected to come; 0 where it comes at once. */
    val expectedEvents: Int,
    /** The time by which the first event, or the answer, must come for its full value. */
    val dueAtMs: Long,
    /** The latest time at which the request is still worth sending. */
    val startByMs: Long,
    /** Targets that failed or refused this request. */
    val avoid: Set<String> = emptySet()
)

/** What became of a ticket that waited for a target. */
public sealed class FleetDecision {
    /** The request may be sent to [targetId], whose first event is expected in [firstEventMs]. */
    public data class Send(val targetId: String, val firstEventMs: Long = 0) : FleetDecision()

    /** No target takes the request in time; it may come back after [retryAfterMs]. */
    public data class Refuse(val reason: String, val retryAfterMs: Long) : FleetDecision()
}

/** How a request that was sent to a target ended there. */
public enum class FleetOutcome {
    /** The target answered. */
    ANSWERED,

    /** The target refused without running the request. */
    REFUSED,

    /** The target answered that it failed. */
    ERROR,

    /** The target broke off, sent what is no answer, or fell silent. */
    FAILED,

    /** No connection could be made in time. */
    UNREACHABLE,

    /** Nothing listens at the target's address, or another target does. */
    GONE,

    /** The caller left or its time ran out; says nothing of the target. */
    CANCELLED
}

/** A target that requests may be sent to. */
public data class FleetTarget(
    val id: String,
    val service: String,
    val availabilityZone: String,
    val slots: Int,
    val isLeaving: Boolean,
    /** Whether the target is a model engine, whose prompts take time in proportion. */
    val isEngine: Boolean
)
