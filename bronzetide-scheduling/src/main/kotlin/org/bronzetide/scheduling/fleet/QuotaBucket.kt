package org.bronzetide.scheduling.fleet

/**
 * One host's copy of an account's token bucket, and the rule for what the host may spend of it.
 *
 * While the grants of the others are known, that is all that the level leaves after the grants that
 * are estimated but not reported yet. While they are unknown it is the lease: the host's share of
 * what was left when totals stopped to arrive, and of the refill since.
 *
 * Every request of the account needs the same [threshold] to be available, and is deducted in
 * full, which may leave a debt. If each needed its own units, small requests would use up the
 * refill of an account that floods before it ever reached what a large one needs.
 *
 * Single-threaded.
 */
internal class QuotaBucket(
    perSecond: Double,
    burst: Double,
    private var updatedAtMs: Long,
    level: Double,
    /** What is left for this host while some of the others, or all, grant unknown amounts. */
    var lease: Double
) {
    /** The units by which it is refilled in a second. */
    var perSecond = perSecond
        private set

    /** The most that it holds. */
    var burst = burst
        private set

    /** What the known grants of all hosts leave of the quota. */
    var level = level
        private set

    /** The units of the last request that was granted. */
    var lastUnits = 0L
        private set

    /** The [threshold] of the last request if it was refused. The lease may grow up to it. */
    private var wanted = 0.0

    /** When the account last asked for more than was left, reserved units included. */
    private var exhaustedAtMs = Long.MIN_VALUE / 2

    /** The mean units of the latest requests, granted or refused. */
    private var usualUnits = 0.0
    private var requestCount = 0

    /** What this host may spend while it knows the grants of all others that report. */
    val spendable: Double get() = minOf(level, lease)

    /** The time in which an empty bucket is filled, in milliseconds. */
    val fillTimeMs: Long get() = (burst / perSecond * MS_PER_S).toLong()

    /**
     * The units that must be available for a request of any size: what the account usually asks
     * for, so that a grant leaves nothing of them on average.
     */
    val threshold: Double get() = minOf(usualUnits, burst)

    private val maxDebt: Double get() = burst + perSecond * MAX_DEBT_S

    /** Changes the quota. What was spent of the earlier one stays spent. */
    fun resize(perSecond: Double, burst: Double) {
        this.perSecond = perSecond
        this.burst = burst
        level = minOf(level, burst)
        lease = minOf(lease, burst)
    }

    /**
     * The time until a request of [units] may be granted, in milliseconds, or 0 if it may be now.
     * The others have likely granted [unreported] units that are not deducted yet. The share
     * [reserved] of the burst is left to more urgent requests while the account asks for more than
     * its quota; an account that does not has no reason to keep anything back.
     */
    fun waitMs(
        units: Long,
        unreported: Double,
        knowledge: PeerKnowledge,
        reserved: Double,
        nowMs: Long
    ): Long {
        // Nothing is known of the account at its first request but that request.
        val isFirst = requestCount == 0
        val needed = if (isFirst) minOf(units.toDouble(), burst * FIRST_SHARE) else threshold
        val missing = when (knowledge) {
            is PeerKnowledge.Current -> {
                val missing = needed - (spendable - unreported)
                if (missing > 0) exhaustedAtMs = nowMs
                val isExhausted = nowMs - exhaustedAtMs < EXHAUSTED_MS
                // A request that is small for its account takes little from the urgent ones.
                val isSmall = units * SMALL_DIVISOR < usualUnits
                if (isExhausted && !isSmall) missing + burst * reserved else missing
            }

            is PeerKnowledge.Unknown -> {
                // A share is less than most requests; one of them may overdraw it while the
                // account is far below its quota.
                val canOverdraw = level - unreported >= needed
                val share = burst * knowledge.rateShare * MIN_SHARE_LEFT
                (if (canOverdraw) minOf(needed, share) else needed) - lease
            }
        }
        if (missing <= 0) return 0
        return (missing * MS_PER_S / (perSecond * knowledge.rateShare)).toLong() + 1
    }

    /** Lets the lease grow up to the [threshold], as a request of [units] is refused. */
    fun refuse(units: Long) {
        addToMean(units)
        wanted = threshold
    }

    /** Deducts the [units] of a request that is granted, which may leave a debt. */
    fun consume(units: Long) {
        level = (level - units).coerceAtLeast(-maxDebt)
        lease = (lease - units).coerceAtLeast(-maxDebt)
        lastUnits = units
        wanted = 0.0
        addToMean(units)
    }

    /** Raises the level to [units], which another host knows to be left. */
    fun raiseLevel(units: Double, knowledge: PeerKnowledge) {
        level = maxOf(level, minOf(units, burst))
        // With less than the whole rate, the lease holds what others may grant by themselves.
        if (knowledge is PeerKnowledge.Current && knowledge.rateShare >= 1) lease = level
    }

    private fun addToMean(units: Long) {
        requestCount = minOf(requestCount + 1, MEAN_REQUESTS)
        // More than the burst does not raise the threshold further, so does not raise the mean.
        usualUnits += (minOf(units.toDouble(), burst) - usualUnits) / requestCount
    }

    /** Returns the [units] of a request that no target ran. */
    fun refund(units: Long) {
        level = minOf(burst, level + units)
        lease = minOf(burst, lease + units)
    }

    /** Deducts [units] granted by peers, which may leave a debt. */
    fun consumeForPeers(units: Long, nowMs: Long, knowledge: PeerKnowledge) {
        // Refills first: after a long gap, the debt limit could otherwise cut off some units.
        refill(nowMs, knowledge)
        level = (level - units).coerceIn(-maxDebt, burst)
        lease = (lease - units).coerceIn(-maxDebt, burst)
    }

    /** Adds the units of the time since the last call, given the [knowledge] in that time. */
    fun refill(nowMs: Long, knowledge: PeerKnowledge) {
        val refilled = (nowMs - updatedAtMs).coerceAtLeast(0) * perSecond / MS_PER_S
        updatedAtMs = nowMs
        // Grows in full, as grants that are unknown now are deducted once they are known.
        level = minOf(burst, level + refilled)
        val most = when (knowledge) {
            is PeerKnowledge.Current -> burst
            is PeerKnowledge.Unknown -> maxOf(burst * knowledge.rateShare, wanted)
        }
        lease = maxOf(lease, minOf(most, lease + refilled * knowledge.rateShare))
    }

    private companion object {
        /** The most of the burst that a first request needs, as its account is mostly sound. */
        const val FIRST_SHARE = 0.1

        /** A request is small with less than this part of the account's mean. */
        const val SMALL_DIVISOR = 4

        /** How long units are reserved for urgent requests after some were refused. */
        const val EXHAUSTED_MS = 2_000L

        /** Requests that the mean goes back; with so many, an outlier moves it by little. */
        const val MEAN_REQUESTS = 50

        /** The part of a full share that must be left for a request that overdraws it. */
        const val MIN_SHARE_LEFT = 0.5

        /** Half of the quota window, as older grants soon fall out of it. */
        const val MAX_DEBT_S = 4
        const val MS_PER_S = 1_000.0
    }
}
