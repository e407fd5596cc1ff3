package org.bronzetide.scheduling.fleet

import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

/** The order of the queue while a burst beyond the targets' capacity builds up and drains. */
class WaitingQueueTest {
    private var usualMs = 50L
    private val queue = WaitingQueue { usualMs }

    @Example
    fun onTimeRequestsPrecedeLateOnesOfTheSamePriority() {
        add(1, priority = 0, dueAtMs = 100, startByMs = 2_000)
        add(2, priority = 0, dueAtMs = 600, startByMs = 2_000)
        assertThat(order(nowMs = 50)).containsExactly(1, 2)
        assertThat(order(nowMs = 200)).containsExactly(2, 1)
    }

    @Example
    fun lateRequestYieldsToOnTimeOnesOfAnyPriorityWhileItCanWait() {
        add(1, priority = 0, dueAtMs = 100, startByMs = 2_000)
        add(2, priority = 2, dueAtMs = 3_000, startByMs = 5_000)
        assertThat(order(nowMs = 500)).containsExactly(2, 1)
    }

    @Example
    fun lateRequestAboutToBeShedPrecedesLessUrgentOnes() {
        add(1, priority = 0, dueAtMs = 100, startByMs = 2_000)
        add(2, priority = 2, dueAtMs = 3_000, startByMs = 5_000)
        assertThat(order(nowMs = 1_700)).containsExactly(1, 2)
    }

    @Example
    fun newestRequestsAreFirstOnceSomeAreLate() {
        add(1, priority = 0, dueAtMs = 400, startByMs = 2_000)
        add(2, priority = 0, dueAtMs = 600, startByMs = 2_000)
        add(3, priority = 0, dueAtMs = 700, startByMs = 2_000)
        assertThat(order(nowMs = 300)).containsExactly(1, 2, 3)
        assertThat(order(nowMs = 360)).containsExactly(3, 2, 1)
    }

    @Example
    fun burstOfOneServiceDoesNotChangeTheOrderOfAnother() {
        add(1, priority = 0, dueAtMs = 100, startByMs = 2_000)
        add(2, priority = 0, dueAtMs = 600, startByMs = 2_000, service = "plain")
        add(3, priority = 0, dueAtMs = 700, startByMs = 2_000, service = "plain")
        assertThat(order(nowMs = 300)).containsExactly(2, 3, 1)
    }

    /** Guards against all requests being late from their arrival once a service is slow. */
    @Example
    fun requestIsNotLateBeforeHalfOfItsTimeHasPassed() {
        usualMs = 5_000
        add(1, priority = 1, dueAtMs = 800, startByMs = 2_000)
        add(2, priority = 2, dueAtMs = 2_000, startByMs = 5_000)
        assertThat(order(nowMs = 400)).containsExactly(1, 2)
        assertThat(order(nowMs = 401)).containsExactly(2, 1)
    }

    private fun add(
        sequence: Long,
        priority: Int,
        dueAtMs: Long,
        startByMs: Long,
        service: String = "model"
    ) {
        val ticket = FleetTicket(sequence, service, priority, 500, 50, dueAtMs, startByMs)
        queue.add(ticket, nowMs = 0) {}
    }

    private fun order(nowMs: Long) = queue.inDispatchOrder(nowMs).map { it.entry.ticket.sequence }
}
