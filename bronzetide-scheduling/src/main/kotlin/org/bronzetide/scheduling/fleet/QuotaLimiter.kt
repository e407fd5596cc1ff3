package org.bronzetide.scheduling.fleet

/**
 * Enforces the quotas of client accounts, each of which is shared by all hosts.
 *
 * Every host keeps a copy of each account's token bucket. It deducts its own grants at once, and
 * those of the other hosts when it receives their totals. Without updates a host refills its copy
 * only at its share of the rate, so that the sum over all hosts stays near the quota.
 *
 * Units that hosts grant before they learn of each other's grants exceed the quota. The peak
 * rate of recent grants times the propagation delay is therefore withheld from the allowed slack.
 * Single-threaded.
 */
public class QuotaLimiter {
    private val recentGrants = HashMap<String, SlidingWindowCounter>()
    private val buckets = HashMap<String, Bucket>()
    private val ownTotals = HashMap<String, Long>()
    private var totalsAtLastUpdate: Map<String, Long> = emptyMap()
    private var lastUpdateAtMs = 0L
    private var source: String? = null
    private val peerTotals = HashMap<String, Long>()

    /** The share of each quota's rate that this host may grant; 1 with updates from all hosts. */
    public var rateShare: Double = 1.0

    /** The delay until this host learns of another host's grants, in milliseconds. */
    public var propagationDelayMs: Long = 0

    /**
     * Consumes [units] of the quota of [account] and returns `null`, or returns the time in
     * milliseconds after which that many may be available.
     *
     * The quota is [quotaPerSecond] units per second with bursts of [burst] units; a rate of 0
     * means no limit. All hosts together may grant up to [slack] units more in each window of
     * `SlidingWindowCounter.WINDOW_S` seconds.
     */
    public fun tryConsume(
        account: String,
        quotaPerSecond: Double,
        burst: Double,
        units: Long,
        nowMs: Long,
        slack: Double = 0.0
    ): Long? {
        if (quotaPerSecond <= 0) return null
        val granted = recentGrants.getOrPut(account) { SlidingWindowCounter() }
        val unreported = granted.peakRate(nowMs) * propagationDelayMs / MS_PER_S
        val slackPerSecond = (slack - unreported).coerceAtLeast(0.0) / SlidingWindowCounter.WINDOW_S
        val perSecond = quotaPerSecond + slackPerSecond
        val bucket = buckets.getOrPut(account) {
            // Starts with half of the burst, as other hosts may have granted the rest, or with
            // what the known grants leave if that is less.
            val unspent =
                burst + quotaPerSecond * SlidingWindowCounter.WINDOW_S - granted.sum(nowMs)
            Bucket(perSecond, burst, nowMs, minOf(unspent, burst * INITIAL_BURST_SHARE))
        }
        bucket.resize(perSecond, burst)
        bucket.refill(nowMs, rateShare)
        val needed = minOf(units.toDouble(), burst)
        if (bucket.level < needed) {
            return ((needed - bucket.level) / (perSecond * rateShare) * MS_PER_S).toLong() + 1
        }
        bucket.level -= units
        granted.add(units, nowMs)
        ownTotals.merge(account, units, Long::plus)
        return null
    }

    /** Refunds [units] to the quota of [account], for a request that no target ran. */
    public fun refund(account: String, units: Long) {
        val bucket = buckets[account] ?: return
        bucket.level = minOf(bucket.burst, bucket.level + units)
        ownTotals.merge(account, -units, Long::plus)
    }

    /** The units that this host has consumed in total, less refunds, by account. */
    public fun ownTotals(): Map<String, Long> = ownTotals

    /** The [ownTotals] at the last update from the other hosts, by account. */
    public fun ownTotalsAtLastUpdate(): Map<String, Long> = totalsAtLastUpdate

    /**
     * Deducts what the other hosts have consumed since the previous update, given their [totals]
     * by account as counted by [from], which started counting [sourceAgeMs] milliseconds ago.
     *
     * The first totals of a source are deducted if it started after the last update from another
     * source; otherwise they only set the baseline.
     */
    public fun onPeerTotals(
        from: String,
        totals: Map<String, Long>,
        nowMs: Long,
        sourceAgeMs: Long = Long.MAX_VALUE
    ) {
        val isNewSource = from != source
        val hasStartedSince = sourceAgeMs <= nowMs - lastUpdateAtMs + propagationDelayMs
        lastUpdateAtMs = nowMs
        totalsAtLastUpdate = HashMap(ownTotals)
        if (isNewSource) {
            source = from
            peerTotals.clear()
            if (!hasStartedSince) {
                peerTotals.putAll(totals)
                return
            }
        }
        totals.forEach { (account, total) ->
            val delta = total - (peerTotals.put(account, total) ?: 0)
            recentGrants.getOrPut(account) { SlidingWindowCounter() }.add(delta, nowMs)
            buckets[account]?.consumeForPeers(delta, nowMs, rateShare)
        }
    }

    private class Bucket(
        var perSecond: Double,
        var burst: Double,
        private var updatedAtMs: Long,
        var level: Double
    ) {
        fun resize(perSecond: Double, burst: Double) {
            this.perSecond = perSecond
            this.burst = burst
            level = minOf(level, burst)
        }

        /** Deducts [units] granted by peers, which may leave a debt. */
        fun consumeForPeers(units: Long, nowMs: Long, rateShare: Double) {
            // Refills first: after a long gap, the debt limit could otherwise cut off some units.
            refill(nowMs, rateShare)
            val maxDebt = burst + perSecond * MAX_DEBT_S
            level = (level - units).coerceIn(-maxDebt, burst)
        }

        fun refill(nowMs: Long, rateShare: Double) {
            val elapsedMs = (nowMs - updatedAtMs).coerceAtLeast(0)
            level = minOf(burst, level + elapsedMs * perSecond * rateShare / MS_PER_S)
            updatedAtMs = nowMs
        }
    }

    private companion object {
        const val INITIAL_BURST_SHARE = 0.5

        /** Half of the quota window, as older grants soon fall out of it. */
        const val MAX_DEBT_S = 4
        const val MS_PER_S = 1_000.0
    }
}
