package org.bronzetide.scheduling.fleet

/** Counts how often something happened in the last second. */
internal class RecentRate {
    private val occurredAtMs = ArrayDeque<Long>()

    fun onOccurrence(nowMs: Long) {
        occurredAtMs.addLast(nowMs)
        expire(nowMs)
    }

    /**
     * Extrapolates the occurrences of the last second, and [unrecorded] further ones, to
     * [durationMs] milliseconds.
     */
    fun expectedCount(durationMs: Long, nowMs: Long, unrecorded: Int = 0): Double {
        expire(nowMs)
        return (occurredAtMs.size + unrecorded).toDouble() * durationMs / WINDOW_MS
    }

    private fun expire(nowMs: Long) {
        while (occurredAtMs.isNotEmpty() && occurredAtMs.first() < nowMs - WINDOW_MS) {
            occurredAtMs.removeFirst()
        }
    }

    private companion object {
        const val WINDOW_MS = 1_000L
    }
}
