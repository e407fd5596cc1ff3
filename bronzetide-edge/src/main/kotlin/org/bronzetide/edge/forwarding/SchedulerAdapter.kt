package org.bronzetide.edge.forwarding

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.platform.fleet.StatedLimit
import org.bronzetide.platform.fleet.TargetReport
import org.bronzetide.scheduling.fleet.BrittleStatement
import org.bronzetide.scheduling.fleet.FleetDecision
import org.bronzetide.scheduling.fleet.FleetOutcome
import org.bronzetide.scheduling.fleet.FleetScheduler
import org.bronzetide.scheduling.fleet.FleetTicket

/**
 * Lets coroutines on the traffic loop use [scheduler], which runs on the control thread.
 *
 * While requests are queued, it also runs the scheduler every [DECISION_INTERVAL_MS] milliseconds,
 * because some decisions depend only on the passing of time.
 */
internal class SchedulerAdapter(
    private val control: ControlLoop,
    private val clock: MonotonicClock,
    private val scheduler: FleetScheduler,
    private val listener: SendListener? = null
) {
    private var isDecisionScheduled = false

    /**
     * Queues [ticket] and waits for the scheduler's decision, or throws what the scheduler throws.
     * If the wait is cancelled or fails, the ticket is withdrawn and a slot that was already
     * granted is released.
     *
     * [route] names the request's route, and [isFirst] tells that it was not sent before.
     */
    suspend fun awaitDecision(
        ticket: FleetTicket,
        route: String = "",
        isFirst: Boolean = true
    ): FleetDecision {
        val result = CompletableDeferred<FleetDecision>()
        control.post {
            try {
                scheduler.enroll(ticket, clock.nowMs()) {
                    notifyOfSend(ticket, it, route, isFirst)
                    result.complete(it)
                }
            } catch (cause: Throwable) {
                // Another ticket's failure, if this one has its decision.
                if (!result.completeExceptionally(cause)) throw cause
            } finally {
                scheduleDecision()
            }
        }
        return awaitOrWithdraw(ticket, result)
    }

    /**
     * Returns the decision to send [ticket] at once, or `null` if its service has no slot to spare.
     * The ticket does not wait. If this is cancelled, a slot that was already granted is released.
     */
    suspend fun trySend(ticket: FleetTicket, route: String = ""): FleetDecision.Send? {
        val result = CompletableDeferred<FleetDecision?>()
        control.post {
            val nowMs = clock.nowMs()
            try {
                if (scheduler.hasSpareSlot(ticket, nowMs)) {
                    scheduler.enroll(ticket, nowMs) {
                        notifyOfSend(ticket, it, route, isFirst = false)
                        result.complete(it)
                    }
                    scheduler.withdraw(ticket.sequence)
                }
                result.complete(null)
            } catch (cause: Throwable) {
                if (!result.completeExceptionally(cause)) throw cause
            }
        }
        return awaitOrWithdraw(ticket, result) as? FleetDecision.Send
    }

    private suspend fun <T> awaitOrWithdraw(ticket: FleetTicket, result: Deferred<T>): T = try {
        result.await()
    } catch (cause: Throwable) {
        control.post {
            scheduler.withdraw(ticket.sequence)
            val nowMs = clock.nowMs()
            scheduler.release(ticket.sequence, FleetOutcome.UNSENT, nowMs)
            listener?.onEnd(ticket.sequence, FleetOutcome.UNSENT, nowMs)
        }
        throw cause
    }

    private fun notifyOfSend(
        ticket: FleetTicket,
        decision: FleetDecision,
        route: String,
        isFirst: Boolean
    ) {
        if (decision !is FleetDecision.Send) return
        listener?.onSend(ticket.sequence, ticket.service, route, decision.targetId, isFirst)
    }

    /** Reports that the first event for the ticket with [sequence] has arrived. */
    fun onFirstEvent(sequence: Long) {
        val nowMs = clock.nowMs()
        control.post { scheduler.onFirstEvent(sequence, nowMs) }
    }

    /** Reports what the target of the ticket with [sequence] for [service] said about itself. */
    fun onReport(sequence: Long, service: String, report: TargetReport) {
        val nowMs = clock.nowMs()
        control.post {
            report.load?.let { load ->
                val inProgress = load.runningCount + load.waitingCount
                scheduler.onReportedLoad(sequence, inProgress, load.slowdown, nowMs)
            }
            report.brittleRefusalsPerS?.let {
                scheduler.brittleServices.onStated(service, BrittleStatement(it, nowMs))
            }
            when (val limit = report.limit) {
                is StatedLimit.PerSecond ->
                    scheduler.onLimit(sequence, limit.requestsPerSecond, nowMs)

                is StatedLimit.None -> scheduler.onLimit(sequence, null, nowMs)

                is StatedLimit.Unknown -> Unit
            }
        }
        report.restMs?.let { restMs ->
            control.post {
                scheduler.onRest(sequence, nowMs + restMs)
                // The last request that could wait so long has no time left for the next decision.
                control.timers.after(restMs) { scheduler.decide(clock.nowMs()) }
            }
        }
    }

    /** Reports the average milliseconds between the first events for the ticket with [sequence]. */
    fun onEventInterval(sequence: Long, msPerEvent: Double) =
        control.post { scheduler.onEventInterval(sequence, msPerEvent) }

    /**
     * Releases the slot of a ticket whose send has ended with [outcome]. [msPerEvent] is the
     * average milliseconds between the events of the response, or 0 if there were too few to tell.
     */
    fun release(sequence: Long, outcome: FleetOutcome, msPerEvent: Double = 0.0) {
        val nowMs = clock.nowMs()
        control.post {
            listener?.onEnd(sequence, outcome, nowMs)
            scheduler.release(sequence, outcome, nowMs, msPerEvent)
        }
    }

    private fun scheduleDecision() {
        if (isDecisionScheduled || scheduler.waitingCount == 0) return
        isDecisionScheduled = true
        control.timers.after(DECISION_INTERVAL_MS) {
            isDecisionScheduled = false
            try {
                scheduler.decide(clock.nowMs())
            } finally {
                scheduleDecision()
            }
        }
    }

    private companion object {
        /** Less than a tenth of the shortest time within which a request is worth sending. */
        const val DECISION_INTERVAL_MS = 50L
    }
}
