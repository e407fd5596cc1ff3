package org.bronzetide.scheduling.fleet

/**
 * Enforces the quotas of client accounts, each of which is shared by all hosts.
 *
 * Every host keeps a copy of each account's token bucket. It deducts its own grants at once, and
 * those of the other hosts when it receives their totals; until then it estimates them. What it may
 * spend follows from its [PeerKnowledge]: all that is left of its copy while the grants of the
 * others are known, and otherwise a lease, its share of that, so that the sum over all hosts stays
 * near the quota.
 *
 * Units that hosts grant before they learn of each other's grants exceed the quota. The peak
 * rate of recent grants times the propagation delay is therefore withheld from the allowed slack.
 * Single-threaded.
 */
public class QuotaLimiter(private val shares: AccountShares = AccountShares()) {
    private val recentGrants = HashMap<String, SlidingWindowCounter>()
    private val recentPeerGrants = HashMap<String, SlidingWindowCounter>()
    private val buckets = HashMap<String, QuotaBucket>()
    private val ownTotals = HashMap<String, Long>()
    private val peerGrants = PeerGrants()
    private var reportedTotals: Map<String, Long> = emptyMap()
    private var totalsAtLastUpdate: Map<String, Long> = emptyMap()
    private var lastUpdateAtMs = 0L
    private var lastSource: String? = null

    /** When this host started, if grants before that are unknown. */
    private var startedAtMs: Long? = null

    /** What another host has told of accounts that have not been used here since. */
    private val toldLevels = HashMap<String, KnownLevel>()

    /** What this host knows about the grants of the others. */
    public var knowledge: PeerKnowledge = PeerKnowledge.Current()
        private set

    /** The age of the last totals from which on the next ones are late, in milliseconds. */
    public var totalsLateAfterMs: Long = Long.MAX_VALUE

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
        buckets.forEach { (account, bucket) ->
            bucket.refill(nowMs, before)
            when {
                changed is PeerKnowledge.Unknown ->
                    if (before is PeerKnowledge.Current) {
                        bucket.lease = initialLease(account, bucket, changed, nowMs)
                    }

                // What the others granted by themselves is deducted from the level by now.
                before is PeerKnowledge.Unknown || changed.rateShare >= 1 ->
                    bucket.lease = bucket.level
            }
        }
        knowledge = changed
    }

    /** This host's share of what is likely left of [bucket] when totals stop to arrive. */
    private fun initialLease(
        account: String,
        bucket: QuotaBucket,
        unknown: PeerKnowledge.Unknown,
        nowMs: Long
    ): Double {
        val left = bucket.spendable - unreportedByPeers(account, bucket, nowMs, unknown)
        return left.coerceAtLeast(0.0) * unknown.rateShare
    }

    /**
     * Estimates what the others have granted since their last totals: as much as before, or, while
     * they are unknown ([assumed]), as much as this host has if that is more, as a flood reaches
     * all of them. Its last request alone is no sign of a flood.
     */
    private fun unreportedByPeers(
        account: String,
        bucket: QuotaBucket,
        nowMs: Long,
        assumed: PeerKnowledge = knowledge
    ): Double {
        val perSecond = recentPeerGrants[account]?.recentRate(lastUpdateAtMs) ?: 0.0
        // What was granted longer ago than a whole bucket takes to fill has been refilled since.
        val sinceMs = (nowMs - lastUpdateAtMs).coerceIn(0, bucket.fillTimeMs)
        val usual = perSecond * sinceMs / MS_PER_S
        if (assumed !is PeerKnowledge.Unknown) return usual
        val own = (ownTotals[account] ?: 0) - (totalsAtLastUpdate[account] ?: 0)
        return maxOf(usual, (own - bucket.lastUnits).toDouble() * (assumed.hostCount - 1))
    }

    /**
     * Consumes [units] of the quota of [account] and returns `null`, or returns the time in
     * milliseconds after which a request of the account may be granted. The size of a request
     * decides neither whether it is granted nor when to return, unless it is the account's first.
     *
     * The quota is [quotaPerSecond] units per second with bursts of [burst] units; a rate of 0
     * means no limit. All hosts together may grant up to [slack] units more in each window of
     * `SlidingWindowCounter.WINDOW_S` seconds. While the account asks for more than its quota, the
     * share [reserved] of the burst is kept for its more urgent requests.
     */
    public fun tryConsume(
        account: String,
        quotaPerSecond: Double,
        burst: Double,
        units: Long,
        nowMs: Long,
        slack: Double = 0.0,
        reserved: Double = 0.0
    ): Long? {
        if (quotaPerSecond <= 0) {
            onGranted(account, units, nowMs)
            return null
        }
        val granted = recentGrants.getOrPut(account) { SlidingWindowCounter() }
        val unreported = granted.peakRate(nowMs) * propagationDelayMs / MS_PER_S
        val slackPerSecond = (slack - unreported).coerceAtLeast(0.0) / SlidingWindowCounter.WINDOW_S
        val perSecond = quotaPerSecond + slackPerSecond
        val bucket = buckets.getOrPut(account) {
            val known = toldLevels.remove(account) ?: startedAtMs?.let { KnownLevel(0.0, it) }
            val level = initialLevel(granted, known, quotaPerSecond, burst, nowMs)
            val isCurrent = knowledge is PeerKnowledge.Current
            val lease = if (isCurrent) level else level.coerceAtLeast(0.0) * knowledge.rateShare
            QuotaBucket(perSecond, burst, nowMs, level, lease)
        }
        bucket.resize(perSecond, burst)
        bucket.refill(nowMs, knowledge)
        val unreportedUnits = unreportedByPeers(account, bucket, nowMs)
        val untilTotalsMs = if (mayBeSpentByOthers(bucket, nowMs)) totalsLateAfterMs else 0
        val waitMs = maxOf(
            bucket.waitMs(units, unreportedUnits, knowledge, reserved, nowMs),
            untilTotalsMs
        )
        if (waitMs > 0) {
            bucket.refuse(units)
            return waitMs
        }
        bucket.consume(units)
        granted.add(units, nowMs)
        onGranted(account, units, nowMs)
        return null
    }

    private fun onGranted(account: String, units: Long, nowMs: Long) {
        ownTotals.merge(account, units, Long::plus)
        shares.add(account, units, nowMs)
    }

    /**
     * Whether the others are likely to spend all that is left of [bucket] before this host hears of
     * it, as totals are late. The level of an account that floods hardly differs between hosts, and
     * each of them would grant a request.
     */
    private fun mayBeSpentByOthers(bucket: QuotaBucket, nowMs: Long): Boolean =
        knowledge is PeerKnowledge.Current &&
            nowMs - lastUpdateAtMs > totalsLateAfterMs &&
            bucket.spendable < bucket.burst * CONTENDED_LEVEL_SHARE

    /** Refunds [units] to the quota of [account], for a request that no target ran. */
    public fun refund(account: String, units: Long) {
        if (account !in ownTotals) return
        buckets[account]?.refund(units)
        ownTotals.merge(account, -units, Long::plus)
        shares.refund(account, units)
    }

    /** The units that this host has consumed in total, less refunds, by account. */
    public fun ownTotals(): Map<String, Long> = ownTotals

    /** Returns the [ownTotals] for a report to the other hosts. */
    public fun takeReport(): Map<String, Long> = HashMap(ownTotals).also { reportedTotals = it }

    /** The [ownTotals] that were reported before the last update from the other hosts. */
    public fun ownTotalsAtLastUpdate(): Map<String, Long> = totalsAtLastUpdate

    /** What is left of each account's quota, for a host that starts; `null` if that is unknown. */
    public fun levels(nowMs: Long): Map<String, Double>? {
        if (knowledge !is PeerKnowledge.Current) return null
        return buckets.mapValues { (account, bucket) ->
            bucket.refill(nowMs, knowledge)
            bucket.spendable - unreportedByPeers(account, bucket, nowMs)
        }
    }

    /**
     * Uses the [levels] that another host knew when it sent the totals of the latest update. Until
     * then buckets are taken to have been empty at the start of this host. What it has granted
     * itself is deducted, as the other one may not know of it.
     */
    public fun adoptLevels(levels: Map<String, Double>, nowMs: Long): Unit =
        levels.forEach { (account, units) ->
            val left = units - (ownTotals[account] ?: 0)
            val bucket = buckets[account]
            if (bucket == null) {
                toldLevels[account] = KnownLevel(left, nowMs)
            } else {
                bucket.refill(nowMs, knowledge)
                bucket.raiseLevel(left, knowledge)
            }
        }

    /** The state on which decisions about [account] are based, or `null` if there were none. */
    public fun stateOf(account: String, nowMs: Long): State? = buckets[account]?.let {
        val unreported = unreportedByPeers(account, it, nowMs)
        val ageMs = nowMs - lastUpdateAtMs
        State(
            it.level,
            it.lease,
            unreported,
            it.threshold,
            it.burst,
            knowledge,
            ageMs,
            lastSource
        )
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
                shares.add(account, units, nowMs)
                recentGrants.getOrPut(account) { SlidingWindowCounter() }.add(units, nowMs)
                recentPeerGrants.getOrPut(account) { SlidingWindowCounter() }.add(units, nowMs)
                buckets[account]?.consumeForPeers(units, nowMs, knowledge)
            }
    }

    /** The level of a bucket that is used for the first time, given all known grants. */
    private fun initialLevel(
        granted: SlidingWindowCounter,
        known: KnownLevel?,
        perSecond: Double,
        burst: Double,
        nowMs: Long
    ): Double = if (known != null) {
        val startLevel = minOf(known.units, burst)
        granted.bucketLevel(perSecond, burst, known.atMs, startLevel, nowMs)
    } else {
        // Starts with half of the burst, as other hosts may have granted the rest, or with what
        // the known grants leave if that is less.
        val unspent = burst + perSecond * SlidingWindowCounter.WINDOW_S - granted.sum(nowMs)
        minOf(unspent, burst * INITIAL_BURST_SHARE)
    }

    /** This host's copy of an account's bucket, and what it is based on. */
    public data class State(
        val level: Double,
        /** What this host may spend while the grants of the others are unknown. */
        val lease: Double,
        /** The estimate of what the others have granted since their last totals. */
        val unreported: Double,
        /** The units that must be available for the next request, whatever its size. */
        val threshold: Double,
        val burst: Double,
        val knowledge: PeerKnowledge,
        /** The time since the last totals of the other hosts, in milliseconds. */
        val updateAgeMs: Long,
        /** The host that sent them, or `null` if there were none. */
        val source: String?
    ) {
        /** What is likely left of the quota for all hosts. */
        val left: Double get() = level - unreported
    }

    private class KnownLevel(val units: Double, val atMs: Long)

    private companion object {
        const val INITIAL_BURST_SHARE = 0.5

        /** An account that asks for less than its quota seldom has so little left. */
        const val CONTENDED_LEVEL_SHARE = 0.5

        /** A tenth of what a flood may take at once; such grants are rare below the quota. */
        const val ANNOUNCED_SHARE = 0.1

        const val MS_PER_S = 1_000.0
    }
}
