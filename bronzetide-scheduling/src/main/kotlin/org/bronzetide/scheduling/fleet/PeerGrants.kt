package org.bronzetide.scheduling.fleet

/**
 * Tracks what the other hosts have granted, by account, from the running totals of several
 * aggregators, one of which is the primary.
 *
 * Totals of different aggregators cannot be compared, as each began to count at another time. Those
 * of an aggregator other than the primary count from the last amount that the primary confirmed.
 * They only add what the primary has not reported yet, and take over without a gap when it fails.
 */
internal class PeerGrants {
    private val confirmed = HashMap<String, Long>()
    private val known = HashMap<String, Long>()
    private val sources = HashMap<String, Source>()

    /** The totals of one aggregator at the last moment when they were compared with [confirmed]. */
    private class Source(var updatedAtMs: Long) {
        val totals = HashMap<String, Long>()
        val confirmed = HashMap<String, Long>()
    }

    /**
     * Adds the [totals] of [from] and returns by how much the known grants of the others change.
     * Amounts fall when units are refunded.
     *
     * The first totals of a source only set its baseline, unless it [hasJustStarted]: then they
     * count what hosts granted since their last update.
     */
    fun onTotals(
        from: String,
        totals: Map<String, Long>,
        nowMs: Long,
        isPrimary: Boolean,
        sourceAgeMs: Long,
        hasJustStarted: Boolean
    ): Map<String, Long> {
        val last = sources[from]?.takeIf { sourceAgeMs > nowMs - it.updatedAtMs }
        val source = last ?: Source(nowMs).also {
            it.confirmed.putAll(confirmed)
            sources[from] = it
        }
        source.updatedAtMs = nowMs
        sources.values.removeIf { nowMs - it.updatedAtMs > SOURCE_RETENTION_MS }
        if (last == null && !hasJustStarted) source.totals.putAll(totals)
        val changes = HashMap<String, Long>()
        totals.forEach { (account, total) ->
            val before = known[account] ?: 0L
            val base = source.confirmed[account] ?: 0L
            val granted = base + total - (source.totals[account] ?: 0L)
            if (isPrimary) confirmed[account] = granted
            if (isPrimary || granted > before) {
                known[account] = granted
                changes[account] = granted - before
            }
            val latest = confirmed[account] ?: 0L
            if (latest != base) {
                source.confirmed[account] = latest
                source.totals[account] = total
            }
        }
        return changes
    }

    private companion object {
        /** Longer than an aggregator is excluded after it was silent. */
        const val SOURCE_RETENTION_MS = 30_000L
    }
}
