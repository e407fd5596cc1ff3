package org.bronzetide.scheduling.fleet

/**
 * Estimates how many times longer than usual a target takes; 2 means half the usual speed.
 *
 * A single host needs long to learn the slowdown of many targets, so the average over all hosts is
 * included. In a large fleet it soon has more recent samples than this host, whose own lose weight.
 */
internal class SlowdownEstimator {
    private var own = 1.0

    private var samples = 0

    /** The number of samples that count as recent; older ones are in the fleet average. */
    private var recentSamples = 0.0
    private var unreportedSum = 0.0
    private var unreportedSamples = 0

    /** The average over all hosts, or `null` before it is known. */
    var fleetAverage: Double? = null
        private set

    /** The estimate: the mean of this host's samples and the fleet average, weighted. */
    val current: Double
        get() {
            val shared = fleetAverage ?: return own
            val weight = minOf(recentSamples, MAX_OWN_WEIGHT)
            return (own * weight + shared * FLEET_WEIGHT) / (weight + FLEET_WEIGHT)
        }

    /** Returns the mean of the samples since the last call, or `null` without one. */
    fun takeUnreported(): LoadReport.Slowdown? {
        if (unreportedSamples == 0) return null
        val mean = LoadReport.Slowdown(unreportedSum / unreportedSamples, unreportedSamples)
        unreportedSum = 0.0
        unreportedSamples = 0
        return mean
    }

    /** Replaces the fleet average, which includes what this host has reported. */
    fun updateFleetAverage(average: Double) {
        fleetAverage = average
        recentSamples *= RETAINED_SHARE
    }

    fun addSample(observed: Double) {
        if (!observed.isFinite() || observed <= 0) return
        val gain = if (samples < INITIAL_SAMPLES) 1.0 / (samples + 1) else GAIN
        val bounded = observed.coerceIn(MIN_SLOWDOWN, MAX_SLOWDOWN)
        own += (bounded - own) * gain
        samples++
        recentSamples++
        unreportedSum += bounded
        unreportedSamples++
    }

    private companion object {
        const val INITIAL_SAMPLES = 5
        const val GAIN = 0.15
        const val MIN_SLOWDOWN = 0.1
        const val MAX_SLOWDOWN = 20.0

        /** About the number of samples that the moving average covers. */
        const val MAX_OWN_WEIGHT = 10.0
        const val FLEET_WEIGHT = 10.0

        /** The share of recent samples that still count as recent after a fleet average. */
        const val RETAINED_SHARE = 0.5
    }
}
