package org.bronzetide.edge.entry

import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.platform.fleet.Account
import org.bronzetide.platform.fleet.HostSettings
import org.bronzetide.scheduling.fleet.QuotaLimiter

/**
 * Lets coroutines on the traffic loop use [limiter], which runs on the control thread.
 *
 * Quotas are raised by a share of the overage that [bounds] allow, so that requests within an
 * account's quota are not refused. The remaining overage covers what hosts grant before they learn
 * of each other's grants, most of which happens when a flood begins while the aggregator changes.
 * Slack is granted only while no requests are queued, because what an account gets beyond its quota
 * must not delay others.
 */
internal class QuotaLimiterAdapter(
    private val control: ControlLoop,
    private val clock: MonotonicClock,
    private val limiter: QuotaLimiter,
    private val bounds: HostSettings.Bounds,
    private val log: DecisionLog,
    /** Whether requests are queued because their targets have no free capacity. */
    private val hasQueuedRequests: () -> Boolean
) : AdmissionController.AccountQuotas {
    override suspend fun tryConsume(account: Account, units: Long, requestId: String?): Long? {
        if (account.quotaPerS <= 0) return null
        return control.call {
            val factor = 1 + bounds.quotaOverageRatio * GRANTED_OVERAGE_SHARE
            val hasSlack = account.isQuotaInTokens && !hasQueuedRequests()
            val slack = if (hasSlack) bounds.quotaSlackUnits * GRANTED_SLACK_SHARE else 0.0
            val burst = account.quotaBurst * factor
            val nowMs = clock.nowMs()
            val perSecond = account.quotaPerS * factor
            val retryAfterMs =
                limiter.tryConsume(account.name, perSecond, burst, units, nowMs, slack)
            try {
                logNearQuota(account.name, requestId, units, retryAfterMs == null, nowMs)
            } catch (cause: Throwable) {
                if (retryAfterMs == null) limiter.refund(account.name, units)
                throw cause
            }
            retryAfterMs
        }
    }

    /** Logs all refusals, and the grants of an account that has used most of its burst. */
    private fun logNearQuota(
        account: String,
        requestId: String?,
        units: Long,
        isGranted: Boolean,
        nowMs: Long
    ) {
        val state = limiter.stateOf(account, nowMs) ?: return
        if (isGranted && state.left > state.burst * LOGGED_LEVEL_SHARE) return
        log.request(
            "near quota", requestId, "account" to account, "units" to units,
            "granted" to isGranted,
            "level" to state.level.toLong(), "lease" to state.lease.toLong(),
            "unreported" to state.unreported.toLong(), "threshold" to state.threshold.toLong(),
            "burst" to state.burst.toLong(),
            "rateShare" to state.knowledge.rateShare, "updateAgeMs" to state.updateAgeMs,
            "updateFrom" to state.source
        )
    }

    override fun refund(account: Account, units: Long) =
        control.post { limiter.refund(account.name, units) }

    internal companion object {
        /** The share of the allowed overage that is granted. */
        const val GRANTED_OVERAGE_SHARE = 0.3

        /** The share of the slack that is granted, from which unreported grants are deducted. */
        const val GRANTED_SLACK_SHARE = 0.1

        private const val LOGGED_LEVEL_SHARE = 0.1
    }
}
