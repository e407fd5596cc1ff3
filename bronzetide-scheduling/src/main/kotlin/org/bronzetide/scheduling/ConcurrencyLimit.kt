package org.bronzetide.scheduling

/**
 * Finds how many requests a target should run concurrently: additive increase while the time
 * between tokens is within the budget and the limit is reached, multiplicative decrease when it
 * exceeds the budget. The budget is [budgetMs], or 1.5 times the shortest time observed recently if
 * that is longer.
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
    private var bestBetweenTokensMs = Double.MAX_VALUE
    private var samplesUntilDecrease = 0

    val current: Int get() = value.toInt().coerceAtLeast(1)

    /** Adds the time between tokens of a finished request that ran beside [inFlight] others. */
    fun onSample(betweenTokensMs: Double, inFlight: Int) {
        if (!isAdaptive) return
        bestBetweenTokensMs = minOf(bestBetweenTokensMs * BEST_DECAY, betweenTokensMs)
        val toleratedMs = maxOf(budgetMs, bestBetweenTokensMs * BEST_TOLERANCE)
        if (samplesUntilDecrease > 0) samplesUntilDecrease--
        if (betweenTokensMs > toleratedMs) {
            decrease()
        } else if (inFlight + 1 >= current) {
            increase()
        }
    }

    /** Resets the limit to one request, as for a target that returns from ejection. */
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
