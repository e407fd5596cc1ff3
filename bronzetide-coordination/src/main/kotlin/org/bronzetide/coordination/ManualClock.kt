package org.bronzetide.coordination

/** A [MonotonicClock] for tests that changes only by [advance]. */
public class ManualClock(private var timeMs: Long = 0) : MonotonicClock {
    override fun nowMs(): Long = timeMs

    /**
     * Advances the clock by [durationMs] milliseconds.
     *
     * @throws IllegalArgumentException if [durationMs] is negative.
     */
    public fun advance(durationMs: Long) {
        require(durationMs >= 0) { "a monotonic clock cannot go back by ${-durationMs} ms" }
        timeMs += durationMs
    }
}
