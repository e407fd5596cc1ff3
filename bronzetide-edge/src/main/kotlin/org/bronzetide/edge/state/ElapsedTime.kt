package org.bronzetide.edge.state

import org.bronzetide.coordination.MonotonicClock

/**
 * Measures how long ago something was, also if the machine was suspended meanwhile: the monotonic
 * clock may not count that time, and the time of day does. A step of the time of day makes an age
 * greater, never less than by the monotonic clock.
 */
internal class ElapsedTime(
    private val clock: MonotonicClock,
    private val timeOfDayMs: () -> Long = System::currentTimeMillis
) {
    /** A moment in milliseconds, on [clock] and as the time of day. */
    class Moment(val steadyMs: Long, val timeOfDayMs: Long)

    fun now() = Moment(clock.nowMs(), timeOfDayMs())

    /** Returns the milliseconds since [moment]. */
    fun since(moment: Moment): Long =
        maxOf(clock.nowMs() - moment.steadyMs, timeOfDayMs() - moment.timeOfDayMs)
}
