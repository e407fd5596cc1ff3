package org.bronzetide.coordination

/** A clock that moves only when told to, for tests of code that takes a [MonotonicClock]. */
public class ManualClock(private var timeMs: Long = 0) : MonotonicClock {
    override fun nowMs(): Long = timeMs

    /**
     * Moves the clock forward by [durationMs] milliseconds.
     *
     * @throws IllegalArgumentException if [durationMs] is negative.
     */
    public fun advance(durationMs: Long) {
        require(durationMs >= 0) { "A monotonic clock cannot go back by ${-durationMs} ms" }
        timeMs += durationMs
    }
}
