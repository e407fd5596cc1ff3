package org.bronzetide.scheduling.fleet

/**
 * Enforces the quotas of client accounts, each of which is shared by all hosts.
 *
 * Every host keeps a copy of each account's token bucket. It deducts its own grants at once, and
 * those of the other hosts when it receives their totals. What it may spend of its copy follows
 * from its [PeerKnowledge]: all while the grants of the others are known, and otherwise its share,
 * so that the sum over all hosts stays near the quota.
 *
 * Units that hosts grant before they learn of each other's grants exceed the quota. The peak
 * rate of recent grants times the propagation delay is therefore withheld from the allowed slack.
 * Single-threaded.
 */
public class QuotaLimiter {
    private val recentGrants = HashMap<String, SlidingWindowCounter>()
    private val buckets = HashMap<String, Bucket>()
    private val ownTotals = HashMap<String, Long>()
    private val peerGrants = PeerGrants()
    private var reportedTotals: Map<String, Long> = emptyMap()
    private var totalsAtLastUpdate: Map<String, Long> = emptyMap()
    private var lastUpdateAtMs = 0L
    private var lastSource: String? = null

    /** When this host started, if grants before that are unknown. */
    private var startedAtMs: Long? = null

    /** What this host knows about the grants of the others. */
    public var knowledge: PeerKnowledge = PeerKnowledge.Current()
        private set

    /** The delay until this host learns of another host's grants, in milliseconds. */
    public var propagationDelayMs: Long = 0

    /** Begins with empty buckets at [nowMs], as what was granted before is unknown. */
    public fun startEmpty(nowMs: Long) {
        startedAtMs = nowMs
        peerGrants.startEmpty(nowMs)
    }

    /** Changes what this host may spend, from [nowMs] on. */
    public fun updateKnowledge(changed: PeerKnowledge, nowMs: Long) {
        val before = knowledge
        if (changed == before) return
        buckets.values.forEach { it.refill(nowMs, before.rateShare) }
        if (changed is PeerKnowledge.Unknown && before is PeerKnowledge.Current) keepShare(changed)
        knowledge = changed
    }

    /**
     * Leaves of each bucket this host's share. What the others have granted since the last update
     * is estimated by what this host has: a flood reaches all of them.
     */
    private fun keepShare(unknown: PeerKnowledge.Unknown) {
        buckets.filterValues { it.level > 0 }.forEach { (account, bucket) ->
            val own = (ownTotals[account] ?: 0) - (totalsAtLastUpdate[account] ?: 0)
            val left = bucket.level - own.coerceAtLeast(0) * (unknown.hostCount - 1)
            bucket.level = left.coerceAtLeast(0.0) * unknown.rateShare
        }
    }

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
            Bucket(perSecond, burst, nowMs, initialLevel(granted, quotaPerSecond, burst, nowMs))
        }
        bucket.resize(perSecond, burst)
        bucket.refill(nowMs, knowledge.rateShare)
        val needed = when (knowledge) {
            is PeerKnowledge.Current -> minOf(units.toDouble(), burst)

            // A share is less than most requests; one of them may overdraw it.
            is PeerKnowledge.Unknown ->
                minOf(units.toDouble(), burst * knowledge.rateShare * MIN_SHARE_LEFT)
        }
        if (bucket.level < needed) {
            val unitsPerMs = perSecond * knowledge.rateShare / MS_PER_S
            return ((needed - bucket.level) / unitsPerMs).toLong() + 1
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

    /** Returns the [ownTotals] for a report to the other hosts. */
    public fun takeReport(): Map<String, Long> = HashMap(ownTotals).also { reportedTotals = it }

    /** The [ownTotals] that were reported before the last update from the other hosts. */
    public fun ownTotalsAtLastUpdate(): Map<String, Long> = totalsAtLastUpdate

    /** The state on which decisions about [account] are based, or `null` if there were none. */
    public fun stateOf(account: String, nowMs: Long): State? = buckets[account]?.let {
        State(it.level, it.burst, knowledge, nowMs - lastUpdateAtMs, lastSource)
    }

    /** The units above which grants of [account] are announced early, or `null` if unknown. */
    public fun announcedUnits(account: String): Double? =
        buckets[account]?.let { (it.burst + it.perSecond) * ANNOUNCED_SHARE }

    /**
     * Deducts what the other hosts have granted since the previous update, given their [totals] by
     * account as counted by [from], which started counting [sourceAgeMs] milliseconds ago. The
     * accounts left out are unchanged. Totals of the primary aggregator ([isPrimary]) replace what
     * others have reported since its previous ones.
     */
    public fun onPeerTotals(
        from: String,
        totals: Map<String, Long>,
        nowMs: Long,
        sourceAgeMs: Long = Long.MAX_VALUE,
        isPrimary: Boolean = true
    ) {
        lastUpdateAtMs = nowMs
        lastSource = from
        totalsAtLastUpdate = reportedTotals
        peerGrants.onTotals(from, totals, nowMs, isPrimary, sourceAgeMs)
            .filterValues { it != 0L }
            .forEach { (account, units) ->
                recentGrants.getOrPut(account) { SlidingWindowCounter() }.add(units, nowMs)
                buckets[account]?.consumeForPeers(units, nowMs, knowledge.rateShare)
            }
    }

    /** The level of a bucket that is used for the first time, given all known grants. */
    private fun initialLevel(
        granted: SlidingWindowCounter,
        perSecond: Double,
        burst: Double,
        nowMs: Long
    ): Double {
        val started = startedAtMs
        val level = if (started != null) {
            granted.bucketLevel(perSecond, burst, startMs = started, nowMs)
        } else {
            // Starts with half of the burst, as other hosts may have granted the rest, or with
            // what the known grants leave if that is less.
            val unspent = burst + perSecond * SlidingWindowCounter.WINDOW_S - granted.sum(nowMs)
            minOf(unspent, burst * INITIAL_BURST_SHARE)
        }
        val isUnknown = knowledge is PeerKnowledge.Unknown
        return if (isUnknown && level > 0) level * knowledge.rateShare else level
    }

    /** This host's copy of an account's bucket, and what it is based on. */
    public data class State(
        val level: Double,
        val burst: Double,
        val knowledge: PeerKnowledge,
        /** The time since the last totals of the other hosts, in milliseconds. */
        val updateAgeMs: Long,
        /** The host that sent them, or `null` if there were none. */
        val source: String?
    )

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

        /** The part of a full share that must be left for a request that overdraws it. */
        const val MIN_SHARE_LEFT = 0.5

        /** A tenth of what a flood may take at once; such grants are rare below the quota. */
        const val ANNOUNCED_SHARE = 0.1

        /** Half of the quota window, as older grants soon fall out of it. */
        const val MAX_DEBT_S = 4
        const val MS_PER_S = 1_000.0
    }
}
