package org.bronzetide.scheduling

/**
 * Fits `y = intercept + slope * x` to samples, with less weight on older ones.
 *
 * Method: weighted least squares with exponential forgetting.
 */
internal class LinearFit(initialSlope: Double) {
    private var weight = 0.0
    private var sumX = 0.0
    private var sumY = 0.0
    private var sumXx = 0.0
    private var sumXy = 0.0

    /** The slope, never negative. */
    var slope = initialSlope
        private set

    /** The value at `x = 0`, never negative. */
    var intercept = 0.0
        private set

    fun add(x: Double, y: Double) {
        weight = weight * DECAY + 1
        sumX = sumX * DECAY + x
        sumY = sumY * DECAY + y
        sumXx = sumXx * DECAY + x * x
        sumXy = sumXy * DECAY + x * y
        val spread = sumXx - sumX * sumX / weight
        val isFlat = spread < MIN_SPREAD * weight
        val fitted = if (isFlat) slope else (sumXy - sumX * sumY / weight) / spread
        slope = fitted.coerceIn(0.0, sumY / sumX.coerceAtLeast(1.0))
        intercept = ((sumY - slope * sumX) / weight).coerceAtLeast(0.0)
    }

    fun copyFrom(other: LinearFit) {
        slope = other.slope
        intercept = other.intercept
    }

    private companion object {
        const val DECAY = 0.98
        const val MIN_SPREAD = 100.0
    }
}
