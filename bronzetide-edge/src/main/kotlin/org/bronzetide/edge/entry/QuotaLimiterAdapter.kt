package org.bronzetide.edge.entry

import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.platform.fleet.Account
import org.bronzetide.platform.fleet.HostSettings
import org.bronzetide.scheduling.fleet.QuotaLimiter

/**
 * The quota book for traffic.
 *
 * Quotas are given out with a part of the overage that [bounds] allow, so that what is within an
 * account's quota is not refused; the rest covers what hosts admit before they hear of each other,
 * most of it when a flood begins while the hub changes.
 * The slack beside it is given out only while targets have room: what an account gets beyond its
 * quota must not keep others waiting.
 */
internal class QuotaLimiterAdapter(
    private val control: ControlLoop,
    private val clock: MonotonicClock,
    private val book: QuotaLimiter,
    private val bounds: HostSettings.Bounds,
    /** Whether requests wait for targets. */
    private val hasQueuedRequests: () -> Boolean
) : AdmissionController.AccountQuotas {
    override suspend fun tryConsume(account: Account, units: Long): Long? {
        if (account.quotaPerS <= 0) return null
        return control.call {
            val factor = 1 + bounds.quotaOverageRatio * GRANTED_OVERAGE_SHARE
            val hasSlack = account.isQuotaInTokens && !hasQueuedRequests()
            val slack = if (hasSlack) bounds.quotaSlackUnits * GRANTED_SLACK_SHARE else 0.0
            val burst = account.quotaBurst * factor
            book.tryConsume(
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
        control.post { book.refund(account.name, units) }

    internal companion object {
        /** The part of the allowed overage that is given out. */
        const val GRANTED_OVERAGE_SHARE = 0.3

        /** The part of the slack that is given out; what is unheard of is taken off it. */
        const val GRANTED_SLACK_SHARE = 0.1
    }
}
