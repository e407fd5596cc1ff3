package org.bronzetide.scheduling.fleet

/** Counts how many requests of a service were sent in the last second. */
internal class SendRate {
    private val startsAtMs = ArrayDeque<Long>()

    fun onSend(nowMs: Long) {
        startsAtMs.addLast(nowMs)
    }

    /** How many requests are sent within [durationMs] milliseconds if it goes on like this. */
    fun expectedSends(durationMs: Long, nowMs: Long): Double {
        while (startsAtMs.isNotEmpty() && startsAtMs.first() < nowMs - WINDOW_MS) {
            startsAtMs.removeFirst()
        }
        return startsAtMs.size.toDouble() * durationMs / WINDOW_MS
    }

    private companion object {
        const val WINDOW_MS = 1_000L
    }
}
