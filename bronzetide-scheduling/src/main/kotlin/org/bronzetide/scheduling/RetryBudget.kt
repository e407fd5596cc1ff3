package org.bronzetide.scheduling

/**
 * Bounds retries to a share of first tries, so that retries cannot feed a failure.
 *
 * Source: the retry budget of Finagle's and the Envoy proxy's documentation: a leaky balance that
 * first tries fill and retries drain.
 */
public class RetryBudget(private val share: Double) {
    private var balance = INITIAL_RETRIES

    /** Counts a first try. */
    public fun onFirstTry() {
        balance = minOf(MAX_RETRIES, balance + share)
    }

    /** Takes one retry from the budget if it has one. */
    public fun tryRetry(): Boolean {
        if (share <= 0 || balance < 1) return false
        balance -= 1
        return true
    }

    private companion object {
        const val INITIAL_RETRIES = 10.0
        const val MAX_RETRIES = 100.0
    }
}
