package org.bronzetide.scheduling.fleet

/**
 * The steps of a rollout that takes [durationMs] milliseconds, as times since the order.
 *
 * A rollout completes late, because some versions turn bad late and a completed one cannot be
 * rolled back, but early enough for two other drivers to take over.
 */
internal class RolloutSchedule(private val durationMs: Long) {
    /** When the version is to be completed. */
    val completeAtMs: Long =
        (durationMs - maxOf(TAKEOVER_MS, (durationMs * LAST_PART).toLong()))
            .coerceAtLeast((durationMs * MIN_JUDGED_PART).toLong())

    /** When a host that knows nothing of the others decides alone. */
    val lastChanceAtMs: Long = (completeAtMs + durationMs) / 2

    private val shiftMs = (durationMs * SHIFT_PART).toLong().coerceAtMost(MAX_SHIFT_MS)

    /** Whether requests already move away from the old targets. */
    fun isShift(elapsedMs: Long): Boolean = elapsedMs >= completeAtMs - shiftMs

    private companion object {
        const val TAKEOVER_MS = 8_000L
        const val LAST_PART = 0.1
        const val MIN_JUDGED_PART = 0.6

        /** What is left of the exposure budget lasts for about this part of the duration. */
        const val SHIFT_PART = 0.04
        const val MAX_SHIFT_MS = 4_000L
    }
}
