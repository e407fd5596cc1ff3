package org.bronzetide.edge.forwarding

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.scheduling.fleet.FleetDecision
import org.bronzetide.scheduling.fleet.FleetOutcome
import org.bronzetide.scheduling.fleet.FleetScheduler
import org.bronzetide.scheduling.fleet.FleetTicket

/**
 * The scheduler for traffic: requests wait here for their turn.
 *
 * While any wait, the scheduler also decides every [DECIDE_MS] milliseconds, as some waits end by
 * the passing of time alone.
 */
internal class SchedulerAdapter(
    private val control: ControlLoop,
    private val clock: MonotonicClock,
    private val scheduler: FleetScheduler
) {
    private var isDecisionDue = false

    /** Waits for the decision on [ticket]. One that is abandoned leaves nothing behind. */
    suspend fun awaitDecision(ticket: FleetTicket): FleetDecision {
        val result = CompletableDeferred<FleetDecision>()
        control.post {
            scheduler.enroll(ticket, clock.nowMs()) { result.complete(it) }
            decideLater()
        }
        try {
            return result.await()
        } catch (cause: CancellationException) {
            control.post {
                scheduler.withdraw(ticket.sequence)
                scheduler.release(ticket.sequence, FleetOutcome.CANCELLED, clock.nowMs())
            }
            throw cause
        }
    }

    fun onFirstEvent(sequence: Long) {
        val nowMs = clock.nowMs()
        control.post { scheduler.onFirstEvent(sequence, nowMs) }
    }

    fun onEventInterval(sequence: Long, msPerEvent: Double) =
        control.post { scheduler.onEventInterval(sequence, msPerEvent) }

    fun release(sequence: Long, outcome: FleetOutcome, msPerEvent: Double = 0.0) {
        val nowMs = clock.nowMs()
        control.post { scheduler.release(sequence, outcome, nowMs, msPerEvent) }
    }

    private fun decideLater() {
        if (isDecisionDue || scheduler.waitingCount == 0) return
        isDecisionDue = true
        control.timers.after(DECIDE_MS) {
            isDecisionDue = false
            scheduler.decide(clock.nowMs())
            decideLater()
        }
    }

    private companion object {
        /** Under a tenth of the shortest time in which requests are worth sending. */
        const val DECIDE_MS = 50L
    }
}
