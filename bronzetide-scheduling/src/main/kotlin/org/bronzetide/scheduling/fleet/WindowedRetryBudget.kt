package org.bronzetide.scheduling.fleet

/**
 * Limits the retries of each service's requests in any window of [windowMs] milliseconds.
 *
 * Each host may retry [ratio] times its own requests plus its share of [slack], so that the limit
 * holds for the sum over all hosts without communication. Thread-safe.
 */
public class WindowedRetryBudget(
    private val ratio: Double,
    private val slack: Double,
    private val windowMs: Long,
    private val hostCount: () -> Int
) {
    private val windows = HashMap<String, Window>()

    /** Counts a request for [service], which adds to its budget. */
    @Synchronized
    public fun onRequest(service: String, nowMs: Long) {
        windowOf(service, nowMs).requestsAtMs.addLast(nowMs)
    }

    /** Consumes one retry from the budget of [service] and returns whether one was left. */
    @Synchronized
    public fun tryRetry(service: String, nowMs: Long): Boolean {
        val window = windowOf(service, nowMs)
        val slackShare = slack * SLACK_SAFETY_FACTOR / hostCount().coerceAtLeast(1)
        val allowed = ratio * RATIO_SAFETY_FACTOR * window.requestsAtMs.size + slackShare
        if (window.retriesAtMs.size + 1 > allowed) return false
        window.retriesAtMs.addLast(nowMs)
        return true
    }

    private fun windowOf(service: String, nowMs: Long): Window {
        val window = windows.getOrPut(service) { Window() }
        window.requestsAtMs.dropBefore(nowMs - windowMs)
        window.retriesAtMs.dropBefore(nowMs - windowMs)
        return window
    }

    private fun ArrayDeque<Long>.dropBefore(limitMs: Long) {
        while (isNotEmpty() && first() < limitMs) removeFirst()
    }

    private class Window {
        val requestsAtMs = ArrayDeque<Long>()
        val retriesAtMs = ArrayDeque<Long>()
    }

    private companion object {
        // Both leave a margin for requests and retries at the border of two windows.
        const val RATIO_SAFETY_FACTOR = 0.8
        const val SLACK_SAFETY_FACTOR = 0.7
    }
}
