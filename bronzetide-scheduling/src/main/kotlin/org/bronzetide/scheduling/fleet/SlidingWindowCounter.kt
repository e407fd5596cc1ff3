package org.bronzetide.scheduling.fleet

/** Counts the units granted in the last [WINDOW_S] seconds, in buckets of [BUCKET_MS] ms. */
internal class SlidingWindowCounter {
    private val units = LongArray(BUCKETS)
    private var newestBucket = 0L

    /** Adds [count] units, which may be negative for refunded units. */
    fun add(count: Long, nowMs: Long) {
        advanceTo(nowMs / BUCKET_MS)
        units[(newestBucket % BUCKETS).toInt()] += count
    }

    /** The highest rate of any bucket, in units per second. */
    fun peakRate(nowMs: Long): Double {
        advanceTo(nowMs / BUCKET_MS)
        return units.max().coerceAtLeast(0) * MS_PER_S / BUCKET_MS
    }

    /** The average rate of the last second, in units per second. */
    fun recentRate(nowMs: Long): Double {
        advanceTo(nowMs / BUCKET_MS)
        val sum = (newestBucket downTo maxOf(0, newestBucket - RECENT_BUCKETS))
            .sumOf { units[(it % BUCKETS).toInt()] }
        // The newest bucket is not complete.
        val durationMs = RECENT_BUCKETS * BUCKET_MS + nowMs % BUCKET_MS
        return sum.coerceAtLeast(0) * MS_PER_S / durationMs
    }

    /** The units in the whole window. */
    fun sum(nowMs: Long): Long {
        advanceTo(nowMs / BUCKET_MS)
        return units.sum()
    }

    /**
     * The level of a token bucket of [perSecond] units per second and at most [burst] units from
     * which all units were taken; it held [startLevel] at [startMs].
     */
    fun bucketLevel(
        perSecond: Double,
        burst: Double,
        startMs: Long,
        startLevel: Double,
        nowMs: Long
    ): Double {
        advanceTo(nowMs / BUCKET_MS)
        var level = startLevel
        var atMs = startMs
        for (bucket in maxOf(0, newestBucket - BUCKETS + 1)..newestBucket) {
            val endMs = minOf(nowMs, (bucket + 1) * BUCKET_MS)
            if (endMs < atMs) continue
            level = minOf(burst, level + (endMs - atMs) * perSecond / MS_PER_S)
            level -= units[(bucket % BUCKETS).toInt()]
            atMs = endMs
        }
        return level
    }

    private fun advanceTo(bucket: Long) {
        val elapsed = (bucket - newestBucket).coerceIn(0, BUCKETS.toLong())
        for (index in 1..elapsed) units[((bucket - elapsed + index) % BUCKETS).toInt()] = 0
        newestBucket = maxOf(newestBucket, bucket)
    }

    companion object {
        /** The window over which operators check quotas, in seconds. */
        const val WINDOW_S = 8

        /** Longer than the period of updates from peers, so that a bucket holds whole updates. */
        private const val BUCKET_MS = 250L
        private const val RECENT_BUCKETS = 4
        private const val MS_PER_S = 1_000.0
        private const val BUCKETS = WINDOW_S * 4
    }
}
