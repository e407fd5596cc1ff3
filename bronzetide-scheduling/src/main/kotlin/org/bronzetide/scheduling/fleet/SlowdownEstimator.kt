package org.bronzetide.scheduling.fleet

/**
 * Estimates how many times longer than usual a target takes; 2 means half the usual speed.
 *
 * A single host needs long to learn the slowdown of many targets, so the average over all hosts is
 * included.
 */
internal class SlowdownEstimator {
    private var own = 1.0

    /** The number of samples taken on this host. */
    var samples = 0
        private set

    /** The average over all hosts, or `null` before it is known. */
    var fleetAverage: Double? = null

    /** The estimate: the mean of this host's samples and the fleet average, weighted. */
    val current: Double
        get() {
            val shared = fleetAverage ?: return own
            val weight = minOf(samples, MAX_OWN_WEIGHT)
            return (own * weight + shared * FLEET_WEIGHT) / (weight + FLEET_WEIGHT)
        }

    /** The estimate from this host's samples alone, or `null` without a sample. */
    fun learned(): LoadReport.Slowdown? =
        if (samples == 0) null else LoadReport.Slowdown(own, minOf(samples, MAX_OWN_WEIGHT))

    fun addSample(observed: Double) {
        if (!observed.isFinite() || observed <= 0) return
        val gain = if (samples < INITIAL_SAMPLES) 1.0 / (samples + 1) else GAIN
        own += (observed.coerceIn(MIN_SLOWDOWN, MAX_SLOWDOWN) - own) * gain
        samples++
    }

    private companion object {
        const val INITIAL_SAMPLES = 5
        const val GAIN = 0.15
        const val MIN_SLOWDOWN = 0.1
        const val MAX_SLOWDOWN = 20.0

        /** About the number of samples that the moving average covers. */
        const val MAX_OWN_WEIGHT = 10
        const val FLEET_WEIGHT = 10
    }
}
