package org.bronzetide.coordination

import net.jqwik.api.Example

class TimerServiceTest {
    private val clock = ManualClock()
    private val timers = TimerService(clock)
    private val ran = ArrayList<String>()

    @Example
    fun `actions run in the order of their due times`() {
        timers.after(20) { ran += "late" }
        timers.after(10) { ran += "early" }
        advance(30)
        check(ran == listOf("early", "late"))
    }

    @Example
    fun `a periodic action runs once after a long pause`() {
        timers.every(10) { ran += "tick" }
        advance(1_000)
        check(ran == listOf("tick"))
        advance(10)
        check(ran.size == 2)
    }

    @Example
    fun `a cancelled action does not run`() {
        timers.after(10) { ran += "never" }.cancel()
        advance(20)
        check(ran.isEmpty())
    }

    private fun advance(durationMs: Long) {
        clock.advance(durationMs)
        timers.runDue()
    }
}
