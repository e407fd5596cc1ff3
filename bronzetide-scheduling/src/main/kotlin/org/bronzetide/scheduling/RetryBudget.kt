package org.bronzetide.scheduling

/**
 * Limits retries to a [share] of first attempts, so that retries cannot amplify a failure.
 *
 * Source: the retry budgets in the documentation of Finagle and the Envoy proxy: a balance that
 * first attempts fill and retries drain.
 */
public class RetryBudget(private val share: Double) {
    private var balance = INITIAL_RETRIES

    /** Counts a first attempt. */
    public fun onFirstTry() {
        balance = minOf(MAX_RETRIES, balance + share)
    }

    /** Consumes one retry from the budget and returns whether one was left. */
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
