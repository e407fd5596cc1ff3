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

    /** The moving average of the time from sending a request to its end, in milliseconds. */
    var typicalRunMs = ASSUMED_RUN_MS.toDouble()
        private set
    private var runCount = 0

    /** Learns from a run that took [tookMs] milliseconds. */
    fun onRunEnd(tookMs: Long) {
        runCount++
        val gain = maxOf(RUN_GAIN, 1.0 / runCount)
        typicalRunMs += (maxOf(1, tookMs) - typicalRunMs) * gain
    }

    /** The number of sends expected within [durationMs] milliseconds. */
    fun expectedSends(durationMs: Long, nowMs: Long): Int =
        ceil(sends.expectedCount(durationMs, nowMs)).toInt()

    /**
     * Whether [ticket] with [position] others ahead may get a target in time. One that is late,
     * [isDeferred], also yields to all that arrive until then. In a large fleet, this host has
     * [ownSlots] slots on average; with few of them, not even a short queue is served in time.
     * [newSends] and [newArrivals] count besides those that were recorded.
     */
    fun mayStartInTime(
        ticket: FleetTicket,
        isDeferred: Boolean,
        position: Int,
        ownSlots: Double?,
        nowMs: Long,
        newSends: Int = 0,
        newArrivals: Int = 0
    ): Boolean {
        val mostAccepted = if (isDeferred) ALWAYS_ACCEPTED_LATE else ALWAYS_ACCEPTED
        val accepted = (ownSlots ?: Double.MAX_VALUE) / SLOTS_PER_ACCEPTED
        if (position < accepted.coerceIn(1.0, mostAccepted.toDouble())) return true
        val durationMs = ticket.startByMs - nowMs
        val expectedSends = sends.expectedCount(durationMs, nowMs, newSends)
        val overtaking =
            if (isDeferred) arrivals.expectedCount(durationMs, nowMs, newArrivals) else 0.0
        return position <= (expectedSends - overtaking) * SEND_RATE_MARGIN
    }

    /**
     * Returns the time after which the caller of the refused [ticket] may return, in milliseconds.
     * The service has [slots] slots, and [ahead] requests wait that are at least as urgent.
     */
    fun retryAfterMs(ticket: FleetTicket, ahead: Int, slots: Double, nowMs: Long): Long {
        val usedSlots = if (slots == 0.0) 1.0 else slots.coerceAtLeast(MIN_SLOTS)
        val backlogMs = (typicalRunMs * ahead / usedSlots).toLong()
        return retryAdvice.onRefusal(backlogMs, ticket.maxRetryAfterMs, nowMs)
    }

    companion object {
        /** The slots that are in use by requests that arrive at a rate of [perSecond]. */
        fun slotsAt(perSecond: Double): Double = perSecond * ASSUMED_RUN_MS / MS_PER_S

        /** Tickets with fewer others ahead are not refused, whatever the rate of sends. */
        private const val ALWAYS_ACCEPTED = 6
        private const val ALWAYS_ACCEPTED_LATE = 2

        /** Refuses only clear cases, as the rate of one second is a rough estimate. */
        private const val SEND_RATE_MARGIN = 1.3

        /** The duration of a run of which nothing is known yet, in milliseconds. */
        private const val ASSUMED_RUN_MS = 1_500L
        private const val RUN_GAIN = 0.05

        /**
         * A request for each slot that a host has on average starts within about a run. With fewer
         * in its queue, a slot that becomes free stays empty until other hosts hear of it.
         */
        private const val SLOTS_PER_ACCEPTED = 1

        /** Bounds the estimate for targets that take very few requests. */
        private const val MIN_SLOTS = 0.1
        private const val MS_PER_S = 1_000.0
    }
}
