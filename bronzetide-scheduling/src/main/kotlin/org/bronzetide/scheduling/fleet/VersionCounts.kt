package org.bronzetide.scheduling.fleet

import kotlin.math.ln

/**
 * The responses of one version on one route. Latencies are kept as moments of their natural
 * logarithms (of milliseconds), which add up over hosts and are little affected by single outliers.
 */
public data class VersionCounts(
    /** The requests that ended with a response or a failure. */
    val ended: Long = 0,
    val failures: Long = 0,
    /** The responses without failure, each of which has a latency. */
    val answered: Long = 0,
    val lnSum: Double = 0.0,
    val lnSquareSum: Double = 0.0
) {
    /** The mean logarithm of the latencies; 0 without any. */
    val lnMean: Double get() = if (answered == 0L) 0.0 else lnSum / answered

    /** The variance of the logarithms of the latencies; 0 with fewer than two. */
    val lnVariance: Double
        get() = if (answered < 2) {
            0.0
        } else {
            ((lnSquareSum - lnSum * lnMean) / (answered - 1)).coerceAtLeast(0.0)
        }

    /** Adds an answer that took [latencyMs] milliseconds. */
    public fun withAnswer(latencyMs: Long): VersionCounts {
        val value = ln(latencyMs.coerceAtLeast(1).toDouble())
        return VersionCounts(
            ended + 1,
            failures,
            answered + 1,
            lnSum + value,
            lnSquareSum + value * value
        )
    }

    /** Adds a failure. */
    public fun withFailure(): VersionCounts = copy(ended = ended + 1, failures = failures + 1)

    /** The sum of both counts. */
    public operator fun plus(other: VersionCounts): VersionCounts = VersionCounts(
        ended + other.ended,
        failures + other.failures,
        answered + other.answered,
        lnSum + other.lnSum,
        lnSquareSum + other.lnSquareSum
    )

    /**
     * What was counted since [earlier]. Sums fall when the load aggregator changes, as the new one
     * lacks the hosts that have left; then all that it knows counts as new.
     */
    public operator fun minus(earlier: VersionCounts): VersionCounts {
        val isContinued = ended >= earlier.ended &&
            failures >= earlier.failures &&
            answered >= earlier.answered
        if (!isContinued) return this
        return VersionCounts(
            ended - earlier.ended,
            failures - earlier.failures,
            answered - earlier.answered,
            lnSum - earlier.lnSum,
            (lnSquareSum - earlier.lnSquareSum).coerceAtLeast(0.0)
        )
    }
}
