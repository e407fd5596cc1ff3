package org.bronzetide.scheduling.fleet

import kotlin.random.Random

/** Decides which waiting requests of one service are refused early, and when these may return. */
internal class OverloadPolicy(random: Random) {
    private val arrivals = RecentRate()
    private val sends = RecentRate()
    private val retryAdvice = RetryAdvice(random)

    fun onArrival(nowMs: Long) = arrivals.onOccurrence(nowMs)

    fun onSend(nowMs: Long) = sends.onOccurrence(nowMs)

    /**
     * Whether [ticket] with [position] others ahead may get a target in time. One that is late,
     * [isDeferred], also yields to all that arrive until then.
     */
    fun mayStartInTime(
        ticket: FleetTicket,
        isDeferred: Boolean,
        position: Int,
        nowMs: Long
    ): Boolean {
        val alwaysAccepted = if (isDeferred) ALWAYS_ACCEPTED_LATE else ALWAYS_ACCEPTED
        if (position < alwaysAccepted) return true
        val durationMs = ticket.startByMs - nowMs
        val expectedSends = sends.expectedCount(durationMs, nowMs)
        val overtaking = if (isDeferred) arrivals.expectedCount(durationMs, nowMs) else 0.0
        return position <= (expectedSends - overtaking) * SEND_RATE_MARGIN
    }

    /**
     * Returns the time after which the caller of the refused [ticket] may return, in milliseconds.
     * The service has [slots] slots, and [ahead] requests wait that are at least as urgent.
     */
    fun retryAfterMs(ticket: FleetTicket, ahead: Int, slots: Int, nowMs: Long): Long {
        val backlogMs = TYPICAL_RUN_MS * ahead / slots.coerceAtLeast(1)
        return retryAdvice.onRefusal(backlogMs, ticket.maxRetryAfterMs, nowMs)
    }

    private companion object {
        /** Tickets with fewer others ahead are not refused, whatever the rate of sends. */
        const val ALWAYS_ACCEPTED = 6
        const val ALWAYS_ACCEPTED_LATE = 2

        /** Refuses only clear cases, as the rate of one second is a rough estimate. */
        const val SEND_RATE_MARGIN = 1.3
        const val TYPICAL_RUN_MS = 1_500L
    }
}
