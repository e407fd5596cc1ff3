package org.bronzetide.edge.telemetry

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Counters and latency histograms of one process, in Prometheus' text format. */
internal class EdgeMetrics(
    private val registry: PrometheusMeterRegistry =
        PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
) {
    private val reasons = BoundedLabels(MAX_REASONS)

    /** Ended requests by their size. */
    val sizes = SizeMetrics(registry)

    /** Counts a finished request by priority, status and reason, and records its duration. */
    fun onRequestEnd(priority: Int?, status: Int, reason: String, durationMs: Long) {
        val tag = priority?.toString() ?: "none"
        Counter.builder("bronzetide.edge.requests")
            .tag("priority", tag).tag("status", status.toString()).tag("reason", reasons.of(reason))
            .register(registry).increment()
        timer("bronzetide.edge.request.duration", tag).record(durationMs, TimeUnit.MILLISECONDS)
    }

    /** Records the time from a request's arrival to the first event of its response. */
    fun onFirstEvent(priority: Int, durationMs: Long) =
        timer("bronzetide.edge.first.event", priority.toString())
            .record(durationMs, TimeUnit.MILLISECONDS)

    /** Counts an unsuccessful send to a target, by its outcome. */
    fun onFailedSend(outcome: String) = Counter.builder("bronzetide.edge.failed.sends")
        .tag("outcome", outcome).register(registry).increment()

    /** Counts a stream that a caller takes up: `continued` or `refused`. */
    fun onStreamTakenUp(outcome: String) = Counter.builder("bronzetide.edge.streams.taken.up")
        .tag("outcome", outcome).register(registry).increment()

    /** Counts a run that is to resume a broken stream: `sent` or `refused`. */
    fun onStreamResumption(outcome: String) = Counter.builder("bronzetide.edge.stream.resumptions")
        .tag("outcome", outcome).register(registry).increment()

    /** Counts a request that was due for a hedge, by what became of the hedge. */
    fun onHedge(outcome: String) = Counter.builder("bronzetide.edge.hedges")
        .tag("outcome", outcome).register(registry).increment()

    /** Counts a request that was handed to a relay, by what became of it. */
    fun onRelayedSend(result: String) = Counter.builder("bronzetide.edge.relayed.sends")
        .tag("result", result).register(registry).increment()

    /** Counts a response in which a target wants no requests for a while. */
    fun onTargetRest() =
        Counter.builder("bronzetide.edge.target.rests").register(registry).increment()

    /** Counts a response of a target that belongs to another request, or to none. */
    fun onForeignResponse() =
        Counter.builder("bronzetide.edge.foreign.responses").register(registry).increment()

    /** Counts a response of a target that is not valid or not complete, as [fault] tells. */
    fun onInvalidResponse(fault: String) = Counter.builder("bronzetide.edge.invalid.responses")
        .tag("fault", fault).register(registry).increment()

    /** Counts a caller that was cut as it read too slowly, by the limit that was reached. */
    fun onCallerCut(limit: String) = Counter.builder("bronzetide.edge.callers.cut")
        .tag("limit", limit).register(registry).increment()

    /** Counts a relayed request, by its result and its [end], and the bytes of its response. */
    fun onRelayed(result: String, end: String, responseBytes: Long) {
        Counter.builder("bronzetide.edge.relayed.requests")
            .tag("result", result).tag("end", end).register(registry).increment()
        Counter.builder("bronzetide.edge.relayed.bytes")
            .register(registry).increment(responseBytes.toDouble())
    }

    /** Counts a failed call to the store. */
    fun onStoreFailure() =
        Counter.builder("bronzetide.edge.store.failures").register(registry).increment()

    /** Counts a restoration of the store from a snapshot. */
    fun onStoreEraChange() =
        Counter.builder("bronzetide.edge.store.era.changes").register(registry).increment()

    /** Counts a lease that was acquired, or that ended for the reason [change]. */
    fun onLeaseChange(change: String) = Counter.builder("bronzetide.edge.lease.changes")
        .tag("change", change).register(registry).increment()

    /** Counts a version that this host has stopped to use on its evidence, or on that of others. */
    fun onRolloutStop() =
        Counter.builder("bronzetide.edge.rollout.stops").register(registry).increment()

    /** Counts an attempt to write the status of a rollout: its state, or `FAILED`. */
    fun onRolloutWrite(result: String) = Counter.builder("bronzetide.edge.rollout.status.writes")
        .tag("result", result).register(registry).increment()

    /** Counts an attempt to write an object of [kind]: `DONE`, `CONFLICT` or `FAILED`. */
    fun onStreamStoreWrite(kind: String, result: String) =
        Counter.builder("bronzetide.edge.stream.store.writes")
            .tag("kind", kind).tag("result", result).register(registry).increment()

    /** Counts a search for streams in the store: `LISTING`, `CHANGES` or `FAILED`. */
    fun onStreamStoreRead(result: String) = Counter.builder("bronzetide.edge.stream.store.reads")
        .tag("result", result).register(registry).increment()

    /** Counts entries of [list] that were left out of a message of [kind] to a peer. */
    fun onPeerEntriesLeftOut(kind: String, list: String, count: Int) =
        Counter.builder("bronzetide.edge.peer.entries.left.out")
            .tag("kind", kind).tag("list", list).register(registry).increment(count.toDouble())

    /** Registers a gauge [name] that reads [value] at each scrape. */
    fun gauge(name: String, value: () -> Number) {
        Gauge.builder(name, value).register(registry)
    }

    fun scrape(): String = registry.scrape()

    private fun timer(name: String, priority: String): Timer = Timer.builder(name)
        .tag("priority", priority)
        .serviceLevelObjectives(*latencyBuckets)
        .register(registry)

    private companion object {
        /** Some name a service or a version, which the store names. */
        const val MAX_REASONS = 100

        val latencyBuckets = longArrayOf(50, 100, 200, 400, 800, 1_600, 3_200, 12_000)
            .map { Duration.ofMillis(it) }.toTypedArray()
    }
}
