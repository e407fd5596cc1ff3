package org.bronzetide.scheduling.fleet

/**
 * Compares what client accounts have recently got of the targets, so that while room is short the
 * requests of those that got less than others come first.
 *
 * What an account got are the units of its requests that ran or wait on any host, in the window of
 * [SlidingWindowCounter], divided by its quota. They are the same totals by which hosts enforce
 * quotas, so no message is needed for them. An account is compared with the median one: its
 * requests rank behind those of others once it got clearly more, so what others leave is still
 * used, and opening connections, using more hosts or retrying gain nothing.
 *
 * Single-threaded.
 */
public class AccountShares {
    private val received = HashMap<String, SlidingWindowCounter>()
    private var quotasPerSecond: Map<String, Double> = emptyMap()

    /** The quota of an account that has none, so that it is comparable with the others. */
    private var usualQuotaPerSecond = 1.0
    private var median = 0.0
    private var medianAtMs = Long.MIN_VALUE / 2
    private var latestMs = 0L

    /** Replaces the quotas in units per second, by account; 0 if an account has none. */
    public fun updateQuotas(perSecond: Map<String, Double>) {
        quotasPerSecond = perSecond.filterValues { it > 0 }
        usualQuotaPerSecond = quotasPerSecond.values.median() ?: 1.0
        received.keys.retainAll(perSecond.keys)
        medianAtMs = Long.MIN_VALUE / 2
    }

    /** Adds [units] that [account] got on any host. */
    internal fun add(account: String, units: Long, nowMs: Long) {
        latestMs = maxOf(latestMs, nowMs)
        received.getOrPut(account) { SlidingWindowCounter() }.add(units, nowMs)
    }

    /** Takes back [units] of a request that no target ran. */
    internal fun refund(account: String, units: Long) = add(account, -units, latestMs)

    /** Compares what [account] got with the others; without an account, it is never behind. */
    public fun bandOf(account: String?, nowMs: Long): ShareBand {
        latestMs = maxOf(latestMs, nowMs)
        if (account == null || received.size < MIN_ACCOUNTS) return ShareBand.WITHIN
        if (latestMs - medianAtMs >= MEDIAN_INTERVAL_MS) {
            medianAtMs = latestMs
            median = medianUsage(latestMs)
        }
        return bandOf(usageOf(account, latestMs), median)
    }

    /** What [bandOf] would return, without an effect on when the median is updated. */
    internal fun peekBandOf(account: String?, nowMs: Long): ShareBand {
        if (account == null || received.size < MIN_ACCOUNTS) return ShareBand.WITHIN
        val atMs = maxOf(latestMs, nowMs)
        val isDue = atMs - medianAtMs >= MEDIAN_INTERVAL_MS
        return bandOf(usageOf(account, atMs), if (isDue) medianUsage(atMs) else median)
    }

    private fun bandOf(used: Double, typical: Double): ShareBand = when {
        used <= typical * ABOVE_FACTOR -> ShareBand.WITHIN
        used <= typical * FAR_ABOVE_FACTOR -> ShareBand.ABOVE
        else -> ShareBand.FAR_ABOVE
    }

    /** The time for which the quota of [account] gives what it got, in seconds. */
    private fun usageOf(account: String, atMs: Long): Double {
        val units = received[account]?.sum(atMs) ?: return 0.0
        return units.coerceAtLeast(0) / (quotasPerSecond[account] ?: usualQuotaPerSecond)
    }

    private fun medianUsage(atMs: Long): Double =
        received.keys.map { usageOf(it, atMs) }.filter { it > 0 }.median() ?: 0.0

    private fun Collection<Double>.median(): Double? = sorted().getOrNull(size / 2)

    private companion object {
        /** One account alone has nobody to be compared with. */
        const val MIN_ACCOUNTS = 2

        /** With 1,000 accounts, the median of each decision would cost more than the decision. */
        const val MEDIAN_INTERVAL_MS = 250L

        /** Accounts that send as usual differ by less, as the sizes of their requests vary. */
        const val ABOVE_FACTOR = 1.5
        const val FAR_ABOVE_FACTOR = 3.0
    }
}

/** How much an account got, compared with the median account. */
public enum class ShareBand {
    /** About as much, or less. */
    WITHIN,

    /** Clearly more. */
    ABOVE,

    /** Several times as much. */
    FAR_ABOVE
}
