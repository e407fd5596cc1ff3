package org.bronzetide.edge.entry

import org.bronzetide.platform.fleet.Account
import org.bronzetide.scheduling.fleet.PeerKnowledge
import org.bronzetide.scheduling.fleet.QuotaLimiter

/**
 * What a host would decide on the quota of [account] for a request of [units]. [state] is `null` if
 * the account has not been used on this host, which then grants its first request as a rule.
 */
internal class QuotaExplanation(
    val account: Account,
    val units: Long,
    val state: QuotaLimiter.State?
) {
    /**
     * Whether the request would be refused, estimated from the account's latest requests: without
     * the slack that is granted while no requests are queued, and without the overdraft of a share.
     */
    val isExhausted: Boolean
        get() = state != null && spendable(state) < state.threshold

    /** What this host may spend, in units. */
    val spendable: Double? get() = state?.let(::spendable)

    private fun spendable(state: QuotaLimiter.State): Double = when (state.knowledge) {
        is PeerKnowledge.Current -> minOf(state.level, state.lease) - state.unreported
        is PeerKnowledge.Unknown -> state.lease
    }
}
