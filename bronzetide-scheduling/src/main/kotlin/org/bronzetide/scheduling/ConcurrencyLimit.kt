package org.bronzetide.scheduling

/**
 * Finds how many requests a target should run at once: additive increase while its pace is within
 * the budget and the limit binds, multiplicative decrease otherwise.
 *
 * Source: Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion
 * avoidance in computer networks", 1989.
 */
internal class ConcurrencyLimit(
    private val initial: Int,
    private val budgetMs: Double,
    private val isAdaptive: Boolean
) {
    private var value = initial.toDouble()
    private var bestPaceMs = Double.MAX_VALUE
    private var samplesUntilDecrease = 0

    val current: Int get() = value.toInt().coerceAtLeast(1)

    /** Takes the time between tokens of a finished request that ran beside [inFlight] others. */
    fun onSample(betweenTokensMs: Double, inFlight: Int) {
        if (!isAdaptive) return
        bestPaceMs = minOf(bestPaceMs * BEST_DECAY, betweenTokensMs)
        val toleratedMs = maxOf(budgetMs, bestPaceMs * BEST_TOLERANCE)
        if (samplesUntilDecrease > 0) samplesUntilDecrease--
        if (betweenTokensMs > toleratedMs) {
            decrease()
        } else if (inFlight + 1 >= current) {
            increase()
        }
    }

    /** Restarts from one request at a time, as for a target that returns from ejection. */
    fun restart() {
        value = 1.0
    }

    private fun increase() {
        value = minOf(value + 1.0 / value.coerceAtLeast(1.0), initial * MAX_GROWTH)
    }

    private fun decrease() {
        if (samplesUntilDecrease > 0) return
        value = maxOf(1.0, value * DECREASE)
        samplesUntilDecrease = current
    }

    private companion object {
        const val DECREASE = 0.85
        const val BEST_DECAY = 1.002
        const val BEST_TOLERANCE = 1.5
        const val MAX_GROWTH = 4.0
    }
}
