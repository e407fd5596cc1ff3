package org.bronzetide.scheduling.fleet

import kotlin.math.ceil
import kotlin.random.Random

/** Decides which waiting requests of one service are refused early, and when these may return. */
internal class OverloadPolicy(random: Random) {
    private val arrivals = RecentRate()
    private val sends = RecentRate()
    private val retryAdvice = RetryAdvice(random)

    fun onArrival(nowMs: Long) = arrivals.onOccurrence(nowMs)

    fun onSend(nowMs: Long) = sends.onOccurrence(nowMs)

    /** The number of sends expected within [durationMs] milliseconds. */
    fun expectedSends(durationMs: Long, nowMs: Long): Int =
        ceil(sends.expectedCount(durationMs, nowMs)).toInt()

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
    fun retryAfterMs(ticket: FleetTicket, ahead: Int, slots: Double, nowMs: Long): Long {
        val usedSlots = if (slots == 0.0) 1.0 else slots.coerceAtLeast(MIN_SLOTS)
        val backlogMs = (TYPICAL_RUN_MS * ahead / usedSlots).toLong()
        return retryAdvice.onRefusal(backlogMs, ticket.maxRetryAfterMs, nowMs)
    }

    companion object {
        /** The slots that are in use by requests that arrive at a rate of [perSecond]. */
        fun slotsAt(perSecond: Double): Double = perSecond * TYPICAL_RUN_MS / MS_PER_S

        /** Tickets with fewer others ahead are not refused, whatever the rate of sends. */
        private const val ALWAYS_ACCEPTED = 6
        private const val ALWAYS_ACCEPTED_LATE = 2

        /** Refuses only clear cases, as the rate of one second is a rough estimate. */
        private const val SEND_RATE_MARGIN = 1.3
        private const val TYPICAL_RUN_MS = 1_500L

        /** Bounds the estimate for targets that take very few requests. */
        private const val MIN_SLOTS = 0.1
        private const val MS_PER_S = 1_000.0
    }
}
