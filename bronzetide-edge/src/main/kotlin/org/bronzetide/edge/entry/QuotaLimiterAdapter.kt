package org.bronzetide.edge.entry

import kotlin.random.Random
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.platform.fleet.Account
import org.bronzetide.platform.fleet.HostSettings
import org.bronzetide.scheduling.fleet.QuotaLimiter
import org.bronzetide.scheduling.fleet.RetryAdvice

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
    private val random: Random = Random.Default,
    /** Whether requests are queued because their targets have no free capacity. */
    private val hasQueuedRequests: () -> Boolean
) : AdmissionController.AccountQuotas {
    private val retryAdvices = HashMap<String, RetryAdvice>()

    override suspend fun tryConsume(account: Account, charge: QuotaCharge): Long? {
        val units = charge.units
        return control.call {
            val factor = 1 + bounds.quotaOverageRatio * GRANTED_OVERAGE_SHARE
            val hasSlack = account.isQuotaInTokens && !hasQueuedRequests()
            val slack = if (hasSlack) bounds.quotaSlackUnits * GRANTED_SLACK_SHARE else 0.0
            val burst = account.quotaBurst * factor
            val nowMs = clock.nowMs()
            val perSecond = account.quotaPerS * factor
            val reserved = charge.priorityPosition * MAX_RESERVED_SHARE
            val waitMs = limiter
                .tryConsume(account.name, perSecond, burst, units, nowMs, slack, reserved)
            val retryAfterMs = waitMs?.let { adviceFor(account, charge, it, nowMs) }
            try {
                logNearQuota(account.name, charge.requestId, units, retryAfterMs == null, nowMs)
            } catch (cause: Throwable) {
                if (retryAfterMs == null) limiter.refund(account.name, units)
                throw cause
            }
            retryAfterMs
        }
    }

    /**
     * When a refused caller is to return. All that are refused at a time would return together when
     * the bucket has units for one of them, so after the first refusals they are spread over the
     * time that the excess is expected to last.
     */
    private fun adviceFor(account: Account, charge: QuotaCharge, waitMs: Long, nowMs: Long): Long =
        retryAdvices.getOrPut(account.name) { RetryAdvice(random) }
            .onOverQuota(waitMs, charge.maxRetryAfterMs, nowMs)

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

        /**
         * The share of a burst that the least urgent requests of an account leave to the others
         * while it asks for more than its quota: half a burst outlasts a wave of urgent ones.
         */
        private const val MAX_RESERVED_SHARE = 0.5
    }
}
