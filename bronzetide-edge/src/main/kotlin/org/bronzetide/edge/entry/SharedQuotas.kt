package org.bronzetide.edge.entry

import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.platform.fleet.Account
import org.bronzetide.scheduling.fleet.QuotaBook

/** The quota book for traffic. */
internal class SharedQuotas(
    private val control: ControlLoop,
    private val clock: MonotonicClock,
    private val book: QuotaBook
) : Gate.Quotas {
    override suspend fun take(account: Account, units: Long): Long? {
        if (account.quotaPerS <= 0) return null
        return control.call {
            book.take(account.name, account.quotaPerS, account.quotaBurst, units, clock.nowMs())
        }
    }

    override fun giveBack(account: Account, units: Long) =
        control.post { book.giveBack(account.name, units) }
}
