package org.bronzetide.edge.telemetry

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Counters and latency histograms of one process, in Prometheus' text format. */
internal class EdgeMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    /** Counts an ended request by its route's priority, the status given and why. */
    fun onRequestEnd(priority: Int?, status: Int, reason: String, tookMs: Long) {
        val tag = priority?.toString() ?: "none"
        Counter.builder("bronzetide.edge.requests")
            .tag("priority", tag).tag("status", status.toString()).tag("reason", reason)
            .register(registry).increment()
        timer("bronzetide.edge.request.duration", tag).record(tookMs, TimeUnit.MILLISECONDS)
    }

    /** Records the time from a request's arrival to the first event of its answer. */
    fun onFirstEvent(priority: Int, tookMs: Long) =
        timer("bronzetide.edge.first.event", priority.toString())
            .record(tookMs, TimeUnit.MILLISECONDS)

    /** Counts a send to a target that did not end with an answer, by its outcome. */
    fun onFailedSend(outcome: String) = Counter.builder("bronzetide.edge.failed.sends")
        .tag("outcome", outcome).register(registry).increment()

    /** Counts a call to the store that failed. */
    fun onStoreFailure() =
        Counter.builder("bronzetide.edge.store.failures").register(registry).increment()

    /** Shows [value] as [name]. */
    fun gauge(name: String, value: () -> Number) {
        Gauge.builder(name, value).register(registry)
    }

    fun scrape(): String = registry.scrape()

    private fun timer(name: String, priority: String): Timer = Timer.builder(name)
        .tag("priority", priority)
        .serviceLevelObjectives(*boundaries)
        .register(registry)

    private companion object {
        val boundaries = longArrayOf(50, 100, 200, 400, 800, 1_600, 3_200, 12_000)
            .map { Duration.ofMillis(it) }.toTypedArray()
    }
}
