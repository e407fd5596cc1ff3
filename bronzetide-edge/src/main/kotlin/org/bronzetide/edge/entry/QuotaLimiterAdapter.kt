package org.bronzetide.edge.entry

import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
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
    /** Whether requests are queued because their targets have no free capacity. */
    private val hasQueuedRequests: () -> Boolean
) : AdmissionController.AccountQuotas {
    override suspend fun tryConsume(account: Account, units: Long): Long? {
        if (account.quotaPerS <= 0) return null
        return control.call {
            val factor = 1 + bounds.quotaOverageRatio * GRANTED_OVERAGE_SHARE
            val hasSlack = account.isQuotaInTokens && !hasQueuedRequests()
            val slack = if (hasSlack) bounds.quotaSlackUnits * GRANTED_SLACK_SHARE else 0.0
            val burst = account.quotaBurst * factor
            limiter.tryConsume(
                account.name,
                account.quotaPerS * factor,
                burst,
                units,
                clock.nowMs(),
                slack
            )
        }
    }

    override fun refund(account: Account, units: Long) =
        control.post { limiter.refund(account.name, units) }

    internal companion object {
        /** The share of the allowed overage that is granted. */
        const val GRANTED_OVERAGE_SHARE = 0.3

        /** The share of the slack that is granted, from which unreported grants are deducted. */
        const val GRANTED_SLACK_SHARE = 0.1
    }
}
