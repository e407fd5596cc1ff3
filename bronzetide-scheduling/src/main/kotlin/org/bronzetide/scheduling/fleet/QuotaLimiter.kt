package org.bronzetide.scheduling.fleet

/**
 * Holds client accounts to quotas that all hosts share.
 *
 * Every host keeps a copy of each account's one bucket: it takes what it admits itself at once, and
 * what the others admitted as soon as it hears of it. A host that hears nothing refills its copy
 * only with its share of the rate, so that the sum over all hosts stays near the quota.
 *
 * What hosts admit before they hear of each other goes beyond the quota. So much of the slack that
 * is allowed is kept back for it: the highest rate of late, for the time that news take.
 * Single-threaded.
 */
public class QuotaLimiter {
    private val recent = HashMap<String, SlidingWindowCounter>()
    private val buckets = HashMap<String, Bucket>()
    private val ownTotals = HashMap<String, Long>()
    private var totalsAtNews: Map<String, Long> = emptyMap()
    private var heardAtMs = 0L
    private var source: String? = null
    private val peerTotals = HashMap<String, Long>()

    /** The part of each quota's rate that this host may give out by itself; 1 with news of all. */
    public var rateShare: Double = 1.0

    /** How long it takes until this host hears what another one admitted, in milliseconds. */
    public var propagationDelayMs: Long = 0

    /**
     * Takes [units] of [account]'s quota of [ownPerSecond] and [burst] and returns `null`, or
     * returns the time in milliseconds after which there may be as many. All hosts together may
     * give out up to [slack] units beyond in each window.
     */
    public fun tryConsume(
        account: String,
        ownPerSecond: Double,
        burst: Double,
        units: Long,
        nowMs: Long,
        slack: Double = 0.0
    ): Long? {
        if (ownPerSecond <= 0) return null
        val given = recent.getOrPut(account) { SlidingWindowCounter() }
        val unheard = given.peakRate(nowMs) * propagationDelayMs / MS_PER_S
        val slackPerSecond = (slack - unheard).coerceAtLeast(0.0) / SlidingWindowCounter.WINDOW_S
        val perSecond = ownPerSecond + slackPerSecond
        val bucket = buckets.getOrPut(account) {
            // Others may have given out the rest; what was heard of is surely gone.
            val unspent = burst + ownPerSecond * SlidingWindowCounter.WINDOW_S - given.sum(nowMs)
            Bucket(perSecond, burst, nowMs, minOf(unspent, burst * INITIAL_SHARE))
        }
        bucket.follow(perSecond, burst)
        bucket.refill(nowMs, rateShare)
        val needed = minOf(units.toDouble(), burst)
        if (bucket.level < needed) {
            return ((needed - bucket.level) / (perSecond * rateShare) * MS_PER_S).toLong() + 1
        }
        bucket.level -= units
        given.add(units, nowMs)
        ownTotals.merge(account, units, Long::plus)
        return null
    }

    /** Gives back [units] of a request that no target ran. */
    public fun refund(account: String, units: Long) {
        val bucket = buckets[account] ?: return
        bucket.level = minOf(bucket.burst, bucket.level + units)
        ownTotals.merge(account, -units, Long::plus)
    }

    /** What this host has taken in all, by account. */
    public fun ownTotals(): Map<String, Long> = ownTotals

    /** What this host had taken in all when it last heard of the others, by account. */
    public fun ownTotalsAtLastUpdate(): Map<String, Long> = totalsAtNews

    /**
     * Takes what the other hosts have taken in all, as [from] counts it since it began
     * [sourceAgeMs] milliseconds ago. The first totals of a source are news if it began after the
     * last news of another one; else they only set the base.
     */
    public fun onPeerTotals(
        from: String,
        totals: Map<String, Long>,
        nowMs: Long,
        sourceAgeMs: Long = Long.MAX_VALUE
    ) {
        val isNewSource = from != source
        val hasBegunSince = sourceAgeMs <= nowMs - heardAtMs + propagationDelayMs
        heardAtMs = nowMs
        totalsAtNews = HashMap(ownTotals)
        if (isNewSource) {
            source = from
            peerTotals.clear()
            if (!hasBegunSince) {
                peerTotals.putAll(totals)
                return
            }
        }
        totals.forEach { (account, total) ->
            val news = total - (peerTotals.put(account, total) ?: 0)
            recent.getOrPut(account) { SlidingWindowCounter() }.add(news, nowMs)
            buckets[account]?.takeForPeers(news, nowMs, rateShare)
        }
    }

    private class Bucket(
        var perSecond: Double,
        var burst: Double,
        private var updatedAtMs: Long,
        var level: Double
    ) {
        fun follow(perSecond: Double, burst: Double) {
            this.perSecond = perSecond
            this.burst = burst
            level = minOf(level, burst)
        }

        /** Takes what peers gave out, which may leave a debt. */
        fun takeForPeers(units: Long, nowMs: Long, rateShare: Double) {
            // First, as news of a long time would otherwise be cut off at the largest debt.
            refill(nowMs, rateShare)
            val largestDebt = burst + perSecond * LONGEST_DEBT_S
            level = (level - units).coerceIn(-largestDebt, burst)
        }

        fun refill(nowMs: Long, rateShare: Double) {
            val elapsedMs = (nowMs - updatedAtMs).coerceAtLeast(0)
            level = minOf(burst, level + elapsedMs * perSecond * rateShare / MS_PER_S)
            updatedAtMs = nowMs
        }
    }

    private companion object {
        const val INITIAL_SHARE = 0.5

        /** Half of the window: what was given out before that no longer counts soon. */
        const val LONGEST_DEBT_S = 4
        const val MS_PER_S = 1_000.0
    }
}
