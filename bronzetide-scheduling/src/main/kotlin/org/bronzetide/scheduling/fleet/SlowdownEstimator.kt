package org.bronzetide.scheduling.fleet

/**
 * The speed of a target against the usual one; 1 is usual, 2 half as fast.
 *
 * A host alone needs long to learn the speed of many targets, so what all hosts have learned
 * counts as well.
 */
internal class SlowdownEstimator {
    private var own = 1.0

    /** The samples that this host took itself. */
    var samples = 0
        private set

    /** The average of all hosts, or `null` before it is known. */
    var fleetAverage: Double? = null

    /** What this host goes by. */
    val current: Double
        get() {
            val shared = fleetAverage ?: return own
            val weight = minOf(samples, MAX_OWN_WEIGHT)
            return (own * weight + shared * FLEET_WEIGHT) / (weight + FLEET_WEIGHT)
        }

    /** What this host has learned itself, or `null` without a sample. */
    fun learned(): LoadReport.Slowdown? =
        if (samples == 0) null else LoadReport.Slowdown(own, minOf(samples, MAX_OWN_WEIGHT))

    fun addSample(observed: Double) {
        if (!observed.isFinite() || observed <= 0) return
        val gain = if (samples < SETTLING_SAMPLES) 1.0 / (samples + 1) else GAIN
        own += (observed.coerceIn(MIN_FACTOR, MAX_FACTOR) - own) * gain
        samples++
    }

    private companion object {
        const val SETTLING_SAMPLES = 5
        const val GAIN = 0.15
        const val MIN_FACTOR = 0.1
        const val MAX_FACTOR = 20.0

        /** The moving average rests on so many samples at the most. */
        const val MAX_OWN_WEIGHT = 10
        const val FLEET_WEIGHT = 10
    }
}
