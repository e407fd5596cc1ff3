package org.bronzetide.scheduling.fleet

/**
 * Tracks what the other hosts have granted, by account, from the running totals of several
 * aggregators, one of which is the primary.
 *
 * Totals of different aggregators cannot be compared, as each began to count at another time. The
 * first totals of an aggregator are added to what was known when it began; if that was too long
 * ago, they only set its baseline. Those of an aggregator other than the primary count from the
 * last amount that the primary confirmed. They only add what the primary has not reported yet, and
 * take over without a gap when it fails.
 */
internal class PeerGrants {
    private val confirmed = HashMap<String, Long>()
    private val known = HashMap<String, Long>()
    private val sources = HashMap<String, Source>()
    private val recentChanges = ArrayDeque<Change>()

    /** Since when the changes of [known] have been recorded, or `null` if there was no update. */
    private var recordedSinceMs: Long? = null

    /** The primary at the last update from one. */
    private var lastPrimary: String? = null

    /** One aggregator, whose totals count from the [base] that belongs to its earlier [totals]. */
    private class Source(var updatedAtMs: Long) {
        val totals = HashMap<String, Long>()
        val base = HashMap<String, Long>()

        /** What the primary had confirmed when [base] was set. */
        val confirmed = HashMap<String, Long>()
    }

    private class Change(val atMs: Long, val account: String, val units: Long)

    /** Begins at [nowMs] with nothing granted; what was granted before does not count. */
    fun startEmpty(nowMs: Long) {
        recordedSinceMs = nowMs
    }

    /**
     * Adds the [totals] of [from], which began to count [sourceAgeMs] milliseconds ago, and returns
     * by how much the known grants of the others change. Amounts fall when units are refunded.
     */
    fun onTotals(
        from: String,
        totals: Map<String, Long>,
        nowMs: Long,
        isPrimary: Boolean,
        sourceAgeMs: Long
    ): Map<String, Long> {
        val last = sources[from]?.takeIf { sourceAgeMs > nowMs - it.updatedAtMs }
        val source = last ?: newSource(totals, nowMs, sourceAgeMs).also { sources[from] = it }
        source.updatedAtMs = nowMs
        sources.values.removeIf { nowMs - it.updatedAtMs > SOURCE_RETENTION_MS }
        val wasPrimary = from == lastPrimary
        if (isPrimary) lastPrimary = from
        val changes = HashMap<String, Long>()
        totals.forEach { (account, total) ->
            val before = known[account] ?: 0L
            val counted =
                (source.base[account] ?: 0L) + total - (source.totals[account] ?: 0L)
            // A new primary may have been told less than others have already reported.
            val granted = if (isPrimary && !wasPrimary) maxOf(counted, before) else counted
            if (isPrimary) confirmed[account] = granted
            if (isPrimary || granted > before) {
                known[account] = granted
                changes[account] = granted - before
            }
            val latest = confirmed[account] ?: 0L
            if (latest != (source.confirmed[account] ?: 0L)) {
                source.confirmed[account] = latest
                source.base[account] = latest
                source.totals[account] = total
            }
        }
        record(changes, nowMs)
        return changes
    }

    private fun newSource(totals: Map<String, Long>, nowMs: Long, ageMs: Long): Source {
        val source = Source(nowMs)
        source.confirmed.putAll(confirmed)
        val recordedSince = recordedSinceMs ?: nowMs
        if (ageMs > nowMs - recordedSince || ageMs > CHANGE_RETENTION_MS) {
            source.base.putAll(known)
            source.totals.putAll(totals)
            return source
        }
        val knownAtStart = HashMap(known)
        recentChanges.filter { it.atMs > nowMs - ageMs }
            .forEach { knownAtStart.merge(it.account, -it.units, Long::plus) }
        totals.forEach { (account, total) ->
            // Some hosts began to report to it later, and count there from then on only.
            val latest = known[account] ?: 0L
            val atStart = knownAtStart[account] ?: 0L
            if (atStart + total < latest) {
                knownAtStart[account] = latest
                source.totals[account] = total
            }
        }
        source.base.putAll(knownAtStart)
        return source
    }

    private fun record(changes: Map<String, Long>, nowMs: Long) {
        if (recordedSinceMs == null) recordedSinceMs = nowMs
        changes.filterValues { it != 0L }.mapTo(recentChanges) { (account, units) ->
            Change(nowMs, account, units)
        }
        while (nowMs - (recentChanges.firstOrNull()?.atMs ?: nowMs) > CHANGE_RETENTION_MS) {
            recentChanges.removeFirst()
        }
    }

    private companion object {
        /** Longer than an aggregator is excluded after it was silent. */
        const val SOURCE_RETENTION_MS = 30_000L

        /** Longer than hosts take to agree on a new aggregator after several were lost. */
        const val CHANGE_RETENTION_MS = 8_000L
    }
}
