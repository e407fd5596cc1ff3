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

/** The node's metrics, read by Prometheus at `/metrics`. */
internal class NodeMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    init {
        JvmMemoryMetrics().bindTo(registry)
        ProcessorMetrics().bindTo(registry)
    }

    /** Counts an ended request. */
    fun onRequestEnd(tier: Tier?, verdict: Verdict, durationMs: Long) {
        Counter.builder("bronzetide.requests")
            .tag("tier", tier?.toString() ?: "none")
            .tag("verdict", verdict.label)
            .tag("reason", (verdict as? Verdict.NotRun)?.reason?.label ?: "")
            .register(registry)
            .increment()
        timer("bronzetide.request.duration", tier).record(durationMs, TimeUnit.MILLISECONDS)
    }

    /** Records the wait for a turn. */
    fun onGrant(tier: Tier, waitedMs: Long) =
        timer("bronzetide.turn.wait", tier).record(waitedMs, TimeUnit.MILLISECONDS)

    /** Records the time from dispatch to the first token. */
    fun onFirstToken(tier: Tier, firstTokenMs: Long) =
        timer("bronzetide.first.token", tier).record(firstTokenMs, TimeUnit.MILLISECONDS)

    /** Counts prompt tokens, and those whose answer nobody got. */
    fun onPrefill(tokens: Int, isWasted: Boolean) {
        DistributionSummary.builder("bronzetide.prefill.tokens")
            .tag("wasted", isWasted.toString())
            .register(registry)
            .record(tokens.toDouble())
    }

    /** Shows [value] as [name]. */
    fun gauge(name: String, value: () -> Number) {
        Gauge.builder(name, value).register(registry)
    }

    /** All metrics in Prometheus' text format. */
    fun scrape(): String = registry.scrape()

    private fun timer(name: String, tier: Tier?): Timer = Timer.builder(name)
        .tag("tier", tier?.toString() ?: "none")
        .publishPercentileHistogram()
        .register(registry)
}
