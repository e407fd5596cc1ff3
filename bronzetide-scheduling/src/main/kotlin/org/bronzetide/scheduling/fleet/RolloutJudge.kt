package org.bronzetide.scheduling.fleet

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/**
 * Judges a version by its failures and latencies relative to the old version on the same routes.
 *
 * Both are compared on each route and on all routes together. The tests run several times a second
 * for the whole rollout, so they ask for more than the usual significance of a single test.
 *
 * A target that hangs fails all that it gets, on every host, whatever its version. So the failures
 * at the target with the most of them are left out, unless the new version has only one target.
 */
internal class RolloutJudge(private val isOneTarget: Boolean) {
    /**
     * Returns the evidence in [counts] that the version is bad, or `null` without any. Latencies
     * are of use only if [areTargetsVaried], as the first that are tried may be slow machines.
     */
    fun findFault(counts: RolloutCounts, areTargetsVaried: Boolean): String? =
        findFault(counts, if (areTargetsVaried) usual else failuresOnly)

    /**
     * Returns what speaks against completing, or `null`. It is stricter than [findFault], because
     * this is the last look: a fault that was too rare to prove would then hit all requests.
     */
    fun findDoubt(counts: RolloutCounts): String? {
        if (counts.newTotal.answered == 0L) return "no response of the new version"
        return findFault(counts, final)
    }

    private fun findFault(counts: RolloutCounts, limits: Limits): String? {
        val old = counts.oldByRoute
        val byRoute = counts.newByRoute.entries.firstNotNullOfOrNull { (route, new) ->
            val evidence = excessFailures(new, old[route] ?: VersionCounts(), counts, limits)
                ?: slowness(listOf(new to (old[route] ?: VersionCounts())), limits)
            evidence?.let { "route $route: $it" }
        }
        if (byRoute != null) return byRoute
        val oldTotal = old.filterKeys { it in counts.newByRoute }.values.sum()
        return excessFailures(counts.newTotal, oldTotal, counts, limits)
            ?: slowness(
                counts.newByRoute.map { (route, new) -> new to (old[route] ?: VersionCounts()) },
                limits
            )
    }

    private fun excessFailures(
        new: VersionCounts,
        old: VersionCounts,
        counts: RolloutCounts,
        limits: Limits
    ): String? {
        val minFailures = if (isOneTarget) limits.minFailuresOfOneTarget else limits.minFailures
        val leftOut = if (isOneTarget) 0 else counts.failuresByTarget.values.maxOrNull() ?: 0
        val failures = new.failures - leftOut
        if (failures < minFailures) return null
        val ended = new.ended - leftOut
        val share = (old.failures + 0.5) / (old.ended + 1.0)
        val error = sqrt(share * (1 - share) / (old.ended + 1.0))
        val expected = (share + error).coerceIn(MIN_FAILURE_SHARE, MAX_FAILURE_SHARE)
        val deviation = sqrt(ended * expected * (1 - expected))
        val limit = ended * expected + limits.failureDeviations * deviation
        if (failures <= limit) return null
        return "${new.failures} of ${new.ended} failed, " +
            "${old.failures} of ${old.ended} before"
    }

    /** Compares the latencies on routes, weighted by the responses of the new version. */
    private fun slowness(
        routes: List<Pair<VersionCounts, VersionCounts>>,
        limits: Limits
    ): String? {
        val known = routes.filter { (new, old) ->
            new.answered > 0 && old.answered >= limits.minLatencies
        }
        val count = known.sumOf { (new, _) -> new.answered }
        if (count < limits.minLatencies) return null
        var difference = 0.0
        var variance = 0.0
        known.forEach { (new, old) ->
            val weight = new.answered.toDouble() / count
            difference += weight * (new.lnMean - old.lnMean)
            // One response tells nothing of the variance, so the old version's is used as well.
            val newVariance = maxOf(new.lnVariance, old.lnVariance)
            variance += weight * weight *
                (newVariance / new.answered + old.lnVariance / old.answered)
        }
        val lowest = difference - limits.latencyDeviations * sqrt(variance)
        if (difference < ln(limits.slowFactor) || lowest < ln(limits.minSlowFactor)) return null
        return "%.1f times as slow over %d responses"
            .format(java.util.Locale.ROOT, exp(difference), count)
    }

    private class Limits(
        val minFailures: Long,
        /** Some twice of what a target that breaks off once fails at the same time. */
        val minFailuresOfOneTarget: Long,
        val failureDeviations: Double,
        val minLatencies: Long,
        /** The ratio of mean latencies from which a version is bad. */
        val slowFactor: Double,
        /** The ratio that must be exceeded with certainty. */
        val minSlowFactor: Double,
        val latencyDeviations: Double
    )

    private companion object {
        /**
         * Targets of one version differ in speed by 0.55 to 2.8 times the mean, and the few that
         * are tried at a time may be the slow ones.
         */
        val usual = Limits(
            minFailures = 5,
            minFailuresOfOneTarget = 12,
            failureDeviations = 3.5,
            minLatencies = 12,
            slowFactor = 2.5,
            minSlowFactor = 1.9,
            latencyDeviations = 2.5
        )
        val failuresOnly = Limits(
            minFailures = usual.minFailures,
            minFailuresOfOneTarget = usual.minFailuresOfOneTarget,
            failureDeviations = usual.failureDeviations,
            minLatencies = Long.MAX_VALUE,
            slowFactor = usual.slowFactor,
            minSlowFactor = usual.minSlowFactor,
            latencyDeviations = usual.latencyDeviations
        )
        val final = Limits(
            minFailures = 3,
            minFailuresOfOneTarget = 8,
            failureDeviations = 3.0,
            minLatencies = 6,
            slowFactor = 2.3,
            minSlowFactor = 1.5,
            latencyDeviations = 2.0
        )

        /** Failures of single targets and paths are expected of any version. */
        const val MIN_FAILURE_SHARE = 0.015
        const val MAX_FAILURE_SHARE = 0.9
    }
}
