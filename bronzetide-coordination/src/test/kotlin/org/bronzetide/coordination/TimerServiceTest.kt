package org.bronzetide.coordination

import net.jqwik.api.Example

class TimerServiceTest {
    private val clock = ManualClock()
    private val timers = TimerService(clock)
    private val executed = ArrayList<String>()

    @Example
    fun `actions run in the order of their due times`() {
        timers.after(20) { executed += "late" }
        timers.after(10) { executed += "early" }
        advance(30)
        check(executed == listOf("early", "late"))
    }

    @Example
    fun `a periodic action runs once after a long pause`() {
        timers.every(10) { executed += "tick" }
        advance(1_000)
        check(executed == listOf("tick"))
        advance(10)
        check(executed.size == 2)
    }

    @Example
    fun `a cancelled action does not run`() {
        timers.after(10) { executed += "never" }.cancel()
        advance(20)
        check(executed.isEmpty())
    }

    private fun advance(durationMs: Long) {
        clock.advance(durationMs)
        timers.runDue()
    }
}
