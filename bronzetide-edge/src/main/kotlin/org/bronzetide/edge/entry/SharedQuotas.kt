package org.bronzetide.edge.entry

import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.platform.fleet.Account
import org.bronzetide.platform.fleet.HostSettings
import org.bronzetide.scheduling.fleet.QuotaBook

/**
 * The quota book for traffic.
 *
 * Quotas are given out with a part of the overage that [bounds] allow, so that what is within an
 * account's quota is not refused; the other part covers what hosts admit before they hear of each
 * other.
 */
internal class SharedQuotas(
    private val control: ControlLoop,
    private val clock: MonotonicClock,
    private val book: QuotaBook,
    private val bounds: HostSettings.Bounds
) : Gate.Quotas {
    override suspend fun take(account: Account, units: Long): Long? {
        if (account.quotaPerS <= 0) return null
        return control.call {
            val factor = 1 + bounds.quotaOverageRatio * OVERAGE_USED
            val slack = if (account.countsTokens) bounds.quotaSlackUnits * SLACK_USED else 0.0
            val burst = account.quotaBurst * factor + slack
            book.take(account.name, account.quotaPerS * factor, burst, units, clock.nowMs())
        }
    }

    override fun giveBack(account: Account, units: Long) =
        control.post { book.giveBack(account.name, units) }

    private companion object {
        const val OVERAGE_USED = 0.5
        const val SLACK_USED = 0.35
    }
}
