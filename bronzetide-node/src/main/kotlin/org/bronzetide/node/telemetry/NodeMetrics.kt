package org.bronzetide.node.telemetry

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.DistributionSummary
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.TimeUnit
import org.bronzetide.coordination.Verdict
import org.bronzetide.model.Tier

/** The node's metrics, exposed to Prometheus at `/metrics`. */
internal class NodeMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    init {
        JvmMemoryMetrics().bindTo(registry)
        ProcessorMetrics().bindTo(registry)
    }

    /**
     * Counts a finished request, and records its duration. The [tier] is `null` for a request that
     * was refused before its tier was known.
     */
    fun onRequestEnd(tier: Tier?, verdict: Verdict, durationMs: Long) {
        Counter.builder("bronzetide.requests")
            .tag("tier", tier?.toString() ?: "none")
            .tag("verdict", verdict.label)
            .tag("reason", (verdict as? Verdict.NotRun)?.reason?.label ?: "")
            .register(registry)
            .increment()
        timer("bronzetide.request.duration", tier).record(durationMs, TimeUnit.MILLISECONDS)
    }

    /** Records the queue wait of a request, whether it was granted, refused or cancelled. */
    fun onQueueWait(tier: Tier, waitedMs: Long) =
        timer("bronzetide.turn.wait", tier).record(waitedMs, TimeUnit.MILLISECONDS)

    /** Records the time from dispatch to the first token. */
    fun onFirstToken(tier: Tier, firstTokenMs: Long) =
        timer("bronzetide.first.token", tier).record(firstTokenMs, TimeUnit.MILLISECONDS)

    /** Records prompt tokens; they are wasted if the request did not finish. */
    fun onPrefill(tokens: Int, isWasted: Boolean) {
        DistributionSummary.builder("bronzetide.prefill.tokens")
            .tag("wasted", isWasted.toString())
            .register(registry)
            .record(tokens.toDouble())
    }

    /** Registers a gauge called [name] that reads [value]. */
    fun gauge(name: String, value: () -> Number) {
        Gauge.builder(name, value).register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    private fun timer(name: String, tier: Tier?): Timer = Timer.builder(name)
        .tag("tier", tier?.toString() ?: "none")
        .publishPercentileHistogram()
        .register(registry)
}
