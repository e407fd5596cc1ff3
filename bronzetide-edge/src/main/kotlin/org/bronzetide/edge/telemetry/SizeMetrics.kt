package org.bronzetide.edge.telemetry

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import java.util.concurrent.ConcurrentHashMap

/**
 * Counts ended requests by route, account, size and outcome, which shows whether large requests are
 * served less often than others of their route.
 *
 * A request is large if its prompt is in the largest tenth of those that arrived on its route.
 * Accounts after the first [MAX_ACCOUNTS] share a label, as do routes after the first [MAX_ROUTES],
 * which bounds the number of counters.
 */
internal class SizeMetrics(private val registry: MeterRegistry) {
    private val largestTenths = ConcurrentHashMap<String, LargestTenth>()
    private val accounts = BoundedLabels(MAX_ACCOUNTS)
    private val routes = BoundedLabels(MAX_ROUTES)

    /** Counts a request on [route] with [promptTokens], which ended with [outcome]. */
    fun onRequestEnd(route: String, account: String?, promptTokens: Int, outcome: Outcome) {
        val routeLabel = routes.of(route)
        val isLarge = largestTenths.getOrPut(routeLabel) { LargestTenth() }.addSample(promptTokens)
        Counter.builder("bronzetide.edge.requests.by.size")
            .tag("route", routeLabel)
            .tag("account", accounts.of(account))
            .tag("size", if (isLarge) "largest tenth" else "other")
            .tag("outcome", outcome.name.lowercase())
            .register(registry).increment()
    }

    /** How a request ended for its caller. */
    enum class Outcome {
        SERVED,

        /** Refused before any target ran it. */
        REFUSED,

        FAILED
    }

    /** Estimates the size above which a tenth of the samples lie. */
    private class LargestTenth {
        private var threshold = 0.0

        /** Adds a sample and returns whether it is above the estimate so far. */
        @Synchronized
        fun addSample(size: Int): Boolean {
            if (threshold == 0.0) threshold = size.toDouble()
            val isAbove = size > threshold
            // In balance when one sample in ten is above.
            threshold *= if (isAbove) 1 + STEP * (1 - LARGEST_SHARE) else 1 - STEP * LARGEST_SHARE
            return isAbove
        }
    }

    private companion object {
        const val MAX_ACCOUNTS = 50
        const val MAX_ROUTES = 50
        const val LARGEST_SHARE = 0.1

        /** Follows a change of sizes within some hundred requests. */
        const val STEP = 0.05
    }
}
