package org.bronzetide.scheduling.fleet

/**
 * A request that waits for a target of [service]. Times are in milliseconds on the scheduler's
 * clock.
 */
public data class FleetTicket(
    val sequence: Long,
    val service: String,
    /** The [RequestRank] of the request, or any other order; 0 is the most urgent. */
    val priority: Int,
    val promptTokens: Int,
    /** The expected number of events of the response; 0 if it is not streamed. */
    val expectedEvents: Int,
    /** The time by which the first event, or the whole response, must arrive to be on time. */
    val dueAtMs: Long,
    /** The latest time at which the request is still worth sending. */
    val startByMs: Long,
    /** Targets that failed or refused this request; used only if no other has a free slot. */
    val avoid: Set<String> = emptySet(),
    /** The longest time after which a refused caller would still return, in milliseconds. */
    val maxRetryAfterMs: Long = 5_000,
    /** The parts of the prompt that other requests may share, in the prompt's order. */
    val sharedParts: List<PromptPart> = emptyList(),
    /** The client account, or `null` for a request without one. */
    val account: String? = null,
    /** The time by which the whole response must have arrived. */
    val endByMs: Long = Long.MAX_VALUE,
    /** The only version whose targets may get the request, or `null` if any may. */
    val version: SoftwareVersion? = null
) {
    /** Whether [target] is known to run the version that the request must go to. */
    internal fun accepts(target: FleetTarget): Boolean =
        version == null || (target.software == version && !target.isStartInDoubt)
}

/** The decision on a ticket. */
public sealed class FleetDecision {
    /**
     * The request may be sent to [targetId]. Its first event is expected in [firstEventMs] ms, or
     * at an unknown time if that is 0.
     */
    public data class Send(val targetId: String, val firstEventMs: Long = 0) : FleetDecision()

    /**
     * No target is free in time; a retry may succeed after [retryAfterMs] milliseconds, or never if
     * that is `null`.
     */
    public data class Refuse(val reason: String, val retryAfterMs: Long?) : FleetDecision()
}

/** How a request that was sent to a target ended there. */
public enum class FleetOutcome {
    /** The target responded. */
    ANSWERED,

    /** The target refused without running the request. */
    REFUSED,

    /** The target responded with an error. */
    ERROR,

    /** The target broke off, sent an invalid response, or did not respond in time. */
    FAILED,

    /** No connection could be made in time. */
    UNREACHABLE,

    /** Nothing listens at the target's address, or another target does. */
    GONE,

    /** The target broke off, and nothing listens at its address since. */
    CRASHED,

    /** The caller disconnected or its time ran out; does not count against the target. */
    CANCELLED,

    /** The request was not sent after all, so the target does not know of it. */
    UNSENT
}

/** A target that requests may be sent to. */
public data class FleetTarget(
    val id: String,
    val service: String,
    val availabilityZone: String,
    val slots: Int,
    val isLeaving: Boolean,
    /** Whether the target is a model engine, which takes time in proportion to prompt length. */
    val isEngine: Boolean,
    val start: TargetStart = TargetStart(0),
    /** The version of the program that it runs, or `null` if it states none. */
    val version: String? = null,
    /** Whether the target may have restarted, at a version that is not known yet. */
    val isStartInDoubt: Boolean = false
) {
    /** This start of the target. */
    public val ref: TargetRef = TargetRef(id, start)
}

/** Tells the starts of a target apart that have the same id. */
@JvmInline
public value class TargetStart(public val value: Int)

/** One start of a target. */
public data class TargetRef(val id: String, val start: TargetStart)
