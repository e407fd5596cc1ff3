package org.bronzetide.edge.relay

import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.platform.fleet.StatedLimit
import org.bronzetide.platform.fleet.TargetReport
import org.bronzetide.scheduling.fleet.FleetScheduler
import org.bronzetide.scheduling.fleet.RequestLimit
import org.bronzetide.scheduling.fleet.TargetRef

/**
 * Lets the traffic loop ask [scheduler], which runs on the control thread, what targets want of
 * this host, and tell it what they say in the responses to relayed requests.
 */
internal class TargetStatements(
    private val control: ControlLoop,
    private val clock: MonotonicClock,
    private val scheduler: FleetScheduler
) {
    /** Whether [target] wants no requests from this host now. */
    suspend fun isResting(target: TargetRef): Boolean =
        control.call { scheduler.rests.isResting(target, clock.nowMs()) }

    /** Records [report] of [target], in the response to a request that was sent at [sentAtMs]. */
    fun onReport(target: TargetRef, report: TargetReport, sentAtMs: Long) {
        val nowMs = clock.nowMs()
        when (val limit = report.limit) {
            is StatedLimit.PerSecond -> onLimit(target, limit.requestsPerSecond, sentAtMs, nowMs)
            is StatedLimit.None -> onLimit(target, null, sentAtMs, nowMs)
            is StatedLimit.Unknown -> Unit
        }
        report.restMs?.let { restMs ->
            control.post {
                scheduler.rests.onRest(target, nowMs + restMs)
                // The last request that could wait so long has no time left for the next decision.
                control.timers.after(restMs) { scheduler.decide(clock.nowMs()) }
            }
        }
    }

    private fun onLimit(target: TargetRef, perSecond: Double?, sentAtMs: Long, nowMs: Long) =
        control.post {
            scheduler.limits.onStated(target, RequestLimit(perSecond, sentAtMs, nowMs))
        }
}
