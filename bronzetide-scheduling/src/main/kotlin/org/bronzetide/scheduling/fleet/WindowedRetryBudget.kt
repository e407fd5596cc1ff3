package org.bronzetide.scheduling.fleet

/**
 * Bounds how often requests of a service are sent more than once, in any window of [windowMs].
 *
 * Each host keeps to [ratio] times its own requests and its share of [slack], so that the sum over
 * all hosts holds without a message. Safe to call from several threads.
 */
public class WindowedRetryBudget(
    private val ratio: Double,
    private val slack: Double,
    private val windowMs: Long,
    private val hostCount: () -> Int
) {
    private val windows = HashMap<String, Window>()

    /** Counts a request for [service]. */
    @Synchronized
    public fun onRequest(service: String, nowMs: Long) {
        windowOf(service, nowMs).requestsAtMs.addLast(nowMs)
    }

    /** Takes one more send from the budget of [service], if it has one left. */
    @Synchronized
    public fun tryRetry(service: String, nowMs: Long): Boolean {
        val window = windowOf(service, nowMs)
        val share = slack * SLACK_USED / hostCount().coerceAtLeast(1)
        val allowed = ratio * RATIO_USED * window.requestsAtMs.size + share
        if (window.repeatsAtMs.size + 1 > allowed) return false
        window.repeatsAtMs.addLast(nowMs)
        return true
    }

    private fun windowOf(service: String, nowMs: Long): Window {
        val window = windows.getOrPut(service) { Window() }
        window.requestsAtMs.dropBefore(nowMs - windowMs)
        window.repeatsAtMs.dropBefore(nowMs - windowMs)
        return window
    }

    private fun ArrayDeque<Long>.dropBefore(limitMs: Long) {
        while (isNotEmpty() && first() < limitMs) removeFirst()
    }

    private class Window {
        val requestsAtMs = ArrayDeque<Long>()
        val repeatsAtMs = ArrayDeque<Long>()
    }

    private companion object {
        /** Leaves room for what arrives at the border of two windows. */
        const val RATIO_USED = 0.8
        const val SLACK_USED = 0.7
    }
}
