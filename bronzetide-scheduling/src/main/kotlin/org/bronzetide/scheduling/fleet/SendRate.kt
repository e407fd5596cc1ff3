package org.bronzetide.scheduling.fleet

/** Counts how many requests of a service were sent in the last second. */
internal class SendRate {
    private val sentAtMs = ArrayDeque<Long>()

    fun onSend(nowMs: Long) {
        sentAtMs.addLast(nowMs)
    }

    /** Extrapolates the sends of the last second to [durationMs] milliseconds. */
    fun expectedSends(durationMs: Long, nowMs: Long): Double {
        while (sentAtMs.isNotEmpty() && sentAtMs.first() < nowMs - WINDOW_MS) {
            sentAtMs.removeFirst()
        }
        return sentAtMs.size.toDouble() * durationMs / WINDOW_MS
    }

    private companion object {
        const val WINDOW_MS = 1_000L
    }
}
