package org.bronzetide.scheduling.fleet

import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

/** The load pattern: a burst beyond what the targets take, as it builds up and drains. */
class WaitingQueueTest {
    private val queue = WaitingQueue()

    @Example
    fun amongEqualsThoseThatCanBeOnTimeGoFirst() {
        add(1, priority = 0, onTimeUntilMs = 100, startByMs = 2_000)
        add(2, priority = 0, onTimeUntilMs = 600, startByMs = 2_000)
        assertThat(order(nowMs = 50)).containsExactly(1, 2)
        assertThat(order(nowMs = 200)).containsExactly(2, 1)
    }

    @Example
    fun lateRequestLetsOnTimeOnesOfAnyPriorityGoFirstWhileItCanWait() {
        add(1, priority = 0, onTimeUntilMs = 100, startByMs = 2_000)
        add(2, priority = 2, onTimeUntilMs = 3_000, startByMs = 5_000)
        assertThat(order(nowMs = 500)).containsExactly(2, 1)
    }

    @Example
    fun lateRequestAboutToBeShedGoesBeforeLessUrgentOnes() {
        add(1, priority = 0, onTimeUntilMs = 100, startByMs = 2_000)
        add(2, priority = 2, onTimeUntilMs = 3_000, startByMs = 5_000)
        assertThat(order(nowMs = 1_700)).containsExactly(1, 2)
    }

    private fun add(sequence: Long, priority: Int, onTimeUntilMs: Long, startByMs: Long) =
        queue.add(
            FleetTicket(sequence, "model", priority, 500, 50, onTimeUntilMs, startByMs)
        ) {}

    private fun order(nowMs: Long) = queue.inOrder(nowMs).map { it.ticket.sequence }
}
