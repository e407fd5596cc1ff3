package org.bronzetide.node.telemetry

import io.opentelemetry.api.OpenTelemetry
import io.opentelemetry.api.common.AttributeKey
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor
import io.opentelemetry.sdk.trace.export.SpanExporter
import net.logstash.logback.argument.StructuredArguments.entries
import org.slf4j.LoggerFactory

/**
 * Creates a span for each step of a request, within the caller's W3C trace context.
 *
 * In the mode `log` finished spans are written to the log, otherwise nothing is recorded.
 */
internal class Tracing(mode: String) {
    private val tracer: Tracer = if (mode == "log") {
        SdkTracerProvider.builder()
            .addSpanProcessor(SimpleSpanProcessor.create(LogSpanExporter()))
            .build()
            .get(INSTRUMENTATION_SCOPE)
    } else {
        OpenTelemetry.noop().getTracer(INSTRUMENTATION_SCOPE)
    }

    /** Starts the span of a received request, a child of the context in its [headers]. */
    fun startEntrySpan(headers: (String) -> String?): Span {
        val parent = propagator.extract(Context.root(), headers, HeaderGetter)
        return tracer.spanBuilder("entry")
            .setSpanKind(SpanKind.SERVER)
            .setParent(parent)
            .startSpan()
    }

    /** Starts a span called [name] as a child of [parent]. */
    fun startChildSpan(parent: Span, name: String): Span =
        tracer.spanBuilder(name).setParent(Context.root().with(parent)).startSpan()

    /** Returns the `traceparent` header for [span], or `null` if it has no valid trace context. */
    fun traceparent(span: Span): String? {
        var header: String? = null
        propagator.inject(Context.root().with(span), this) { _, key, value ->
            if (key == "traceparent") header = value
        }
        return header
    }

    @Suppress("OVERRIDE_DEPRECATION")
    private object HeaderGetter : TextMapGetter<(String) -> String?> {
        override fun keys(carrier: (String) -> String?) = listOf("traceparent", "tracestate")

        override fun get(carrier: ((String) -> String?)?, key: String) = carrier?.invoke(key)
    }

    private companion object {
        const val INSTRUMENTATION_SCOPE = "org.bronzetide.node"
        val propagator: W3CTraceContextPropagator = W3CTraceContextPropagator.getInstance()
    }
}

/** Writes each finished span to the log, as a line of JSON. */
private class LogSpanExporter : SpanExporter {
    private val log = LoggerFactory.getLogger("span")

    override fun export(spans: Collection<SpanData>): CompletableResultCode {
        spans.forEach { span ->
            val fields = buildMap<String, Any> {
                put("traceId", span.traceId)
                put("spanId", span.spanId)
                put("parentSpanId", span.parentSpanId)
                put("durationMs", (span.endEpochNanos - span.startEpochNanos) / 1e6)
                span.attributes.forEach { key: AttributeKey<*>, value -> put(key.key, value) }
            }
            log.info(span.name, entries(fields))
        }
        return CompletableResultCode.ofSuccess()
    }

    override fun flush(): CompletableResultCode = CompletableResultCode.ofSuccess()

    override fun shutdown(): CompletableResultCode = CompletableResultCode.ofSuccess()
}
