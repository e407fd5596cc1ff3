package org.bronzetide.node.entry

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.queryString
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.Route
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import io.opentelemetry.api.trace.Span
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.RefusalReason
import org.bronzetide.coordination.Verdict
import org.bronzetide.model.CallerId
import org.bronzetide.model.Operation
import org.bronzetide.model.PoolId
import org.bronzetide.model.RequestId
import org.bronzetide.node.dispatch.StreamEvent
import org.bronzetide.node.operator.RecentRefusals
import org.bronzetide.node.telemetry.NodeMetrics
import org.bronzetide.node.telemetry.Tracing
import org.slf4j.LoggerFactory

/** The HTTP API for callers: chat completions and service operations. */
internal class CallerRoutes(
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    private val admission: Admission,
    private val bodies: BodyReader,
    private val forwarder: RequestForwarder,
    private val idempotent: IdempotentExecutor,
    private val metrics: NodeMetrics,
    private val tracing: Tracing,
    private val inFlight: InFlightRequests,
    private val refusals: RecentRefusals
) {
    private val log = LoggerFactory.getLogger(CallerRoutes::class.java)

    /** Adds the routes to [routes]. */
    fun install(routes: Route) {
        routes.post("/v1/chat/completions") { handle(call) { handleCompletion(it) } }
        routes.route("/v1/services/{pool}/{path...}") {
            handle { handle(call) { handleServiceRequest(it) } }
        }
    }

    /**
     * Serves [call] and gives it one response with a verdict, whatever is thrown on the way, errors
     * such as exhausted memory included. Only a caller that has left gets none.
     */
    private suspend fun handle(call: ApplicationCall, serve: suspend (ReceivedRequest) -> Unit) {
        val id = admission.newRequestId()
        var received: ReceivedRequest? = null
        var span: Span? = null
        var isStarted = false
        try {
            val reason = inFlight.tryStart()
            isStarted = reason == null
            if (reason != null) {
                return call.respondRefusal(id, reason, retryAfterMs = UNREADY_RETRY_MS)
            }
            span = tracing.startEntrySpan { call.request.header(it) }
            val caller = admission.callerOf(call)
                ?: return call.respondRefusal(id, RefusalReason.UNAUTHENTICATED)
            val text = bodyOf(call, id) ?: return
            received = ReceivedRequest(call, id, caller, text, span)
            serve(received)
        } catch (cause: Throwable) {
            // A caller that has left cancels the coroutine of its call.
            currentCoroutineContext().ensureActive()
            val outcome = outcomeOf(cause, id, received?.admitted)
            // Of a response that has begun, the engine closes the connection without its end.
            if (!call.response.isCommitted) call.respondOutcome(id, outcome)
        } finally {
            span?.end()
            if (isStarted) inFlight.finish()
        }
    }

    /**
     * Returns the outcome of the request [id] that [cause] has ended. [request] is `null` before
     * its admission. An earlier attempt with the same key may have run.
     */
    private fun outcomeOf(
        cause: Throwable,
        id: RequestId,
        request: CallerRequest?
    ): RequestOutcome {
        log.error("request {} ended by a failure of this node", id.value, cause)
        if (request == null || !request.mayHaveRun && request.idempotencyKey == null) {
            val verdict = Verdict.NotRun(RefusalReason.UNAVAILABLE)
            return RequestOutcome(verdict, retryAfterMs = UNREADY_RETRY_MS)
        }
        return RequestOutcome(Verdict.MayHaveRun("the node failed"))
    }

    private suspend fun bodyOf(call: ApplicationCall, id: RequestId): String? {
        val notRun = Verdict.NotRun(RefusalReason.INVALID)
        when (val body = bodies.read(call)) {
            is BodyReader.BodyResult.Text -> return body.text

            is BodyReader.BodyResult.TooLarge ->
                call.respondError(
                    id,
                    HttpStatusCode.PayloadTooLarge,
                    notRun,
                    "the body is too large"
                )

            is BodyReader.BodyResult.TooSlow ->
                call.respondError(
                    id,
                    HttpStatusCode.RequestTimeout,
                    notRun,
                    "the body came too slowly"
                )

            is BodyReader.BodyResult.InvalidUtf8 ->
                call.respondRefusal(id, RefusalReason.INVALID, "the body is not valid UTF-8")
        }
        return null
    }

    private suspend fun handleCompletion(received: ReceivedRequest) {
        when (val parsed = CompletionParser.parse(received.text)) {
            is CompletionParser.ParseResult.Invalid ->
                received.refuse(RefusalReason.INVALID, parsed.message)

            is CompletionParser.ParseResult.Valid -> {
                val pool = admission.poolOfModel(parsed.model)
                    ?: return received.refuse(
                        RefusalReason.UNKNOWN_POOL,
                        "no model is named ${parsed.model}"
                    )
                admit(received, pool, parsed.content)
            }
        }
    }

    private suspend fun handleServiceRequest(received: ReceivedRequest) {
        val name = received.call.parameters["pool"].orEmpty()
        val (poolId, pool) = admission.servicePool(name)
            ?: return received.refuse(RefusalReason.UNKNOWN_POOL, "no service is named $name")
        val path = "/" + received.call.parameters.getAll("path").orEmpty().joinToString("/")
        val method = received.call.request.httpMethod.value
        val operation = pool.operations.find { it.matches(method, path) }
            ?: return received.refuse(RefusalReason.UNKNOWN_POOL, "no operation is $method $path")
        if (!operation.repeatable &&
            received.call.request.header(HeaderNames.IDEMPOTENCY_KEY) == null
        ) {
            val message =
                "${operation.name} runs only once and needs an ${HeaderNames.IDEMPOTENCY_KEY}"
            return received.refuse(RefusalReason.INVALID, message)
        }
        admit(received, poolId, received.serviceRequest(operation, method, path))
    }

    private fun ReceivedRequest.serviceRequest(operation: Operation, method: String, path: String) =
        RequestContent.ServiceRequest(
            operation = operation.name,
            method = method,
            path = path,
            query = call.request.queryString(),
            body = text,
            contentType = call.request.header("Content-Type"),
            isIdempotent = operation.repeatable
        )

    private fun Operation.matches(method: String, path: String): Boolean = this.method == method &&
        if (this.path.endsWith("*")) path.startsWith(this.path.dropLast(1)) else path == this.path

    private suspend fun admit(received: ReceivedRequest, pool: PoolId, content: RequestContent) {
        val result = with(received) { admission.admit(call, id, caller, pool, content, span) }
        when (result) {
            is Admission.AdmitResult.Refused -> received.refuse(result.reason, result.message)

            is Admission.AdmitResult.Admitted -> {
                received.admitted = result.request
                serve(received.call, result.request)
            }
        }
    }

    private suspend fun serve(call: ApplicationCall, request: CallerRequest) {
        val isStreamed = (request.content as? RequestContent.Completion)?.isStreamed == true
        val outcome = if (isStreamed) stream(call, request) else respondWhole(call, request)
        metrics.onRequestEnd(
            request.policy.tier,
            outcome.verdict,
            clock.nowMs() - request.arrivedAtMs
        )
        (outcome.verdict as? Verdict.NotRun)?.let { refusals.add(it.reason) }
    }

    private suspend fun respondWhole(
        call: ApplicationCall,
        request: CallerRequest
    ): RequestOutcome {
        val outcome = run(request) {}
        call.respondOutcome(request.id, outcome)
        return outcome
    }

    /**
     * Runs [request]. Commands and requests with an idempotency key continue after their caller
     * disconnects, so that a retry finds the response; other requests are cancelled. A failure is
     * returned as an outcome, so that a stream that has begun ends with an error event.
     */
    private suspend fun run(
        request: CallerRequest,
        emit: suspend (StreamEvent) -> Unit
    ): RequestOutcome = try {
        runOrThrow(request, emit)
    } catch (cause: Throwable) {
        currentCoroutineContext().ensureActive()
        outcomeOf(cause, request.id, request)
    }

    private suspend fun runOrThrow(
        request: CallerRequest,
        emit: suspend (StreamEvent) -> Unit
    ): RequestOutcome {
        val hasKey = request.idempotencyKey != null
        val isCommand = (request.content as? RequestContent.ServiceRequest)?.isIdempotent == false
        if (!hasKey && !isCommand) return forwarder.run(request, Long.MAX_VALUE, emit)
        inFlight.startDetached()
        return scope.async {
            try {
                if (hasKey) {
                    idempotent.run(request) { forwarder.run(request, it, emit) }
                } else {
                    forwarder.run(request, Long.MAX_VALUE, emit)
                }
            } finally {
                inFlight.finish()
            }
        }.await()
    }

    private suspend fun stream(call: ApplicationCall, request: CallerRequest): RequestOutcome =
        coroutineScope {
            // A request with a key continues after its caller disconnects, so a slow caller must
            // not block it.
            val isDetached = request.idempotencyKey != null
            val events = Channel<StreamEvent>(if (isDetached) Channel.UNLIMITED else EVENT_BUFFER)
            val pendingOutcome = async {
                try {
                    run(request) { event ->
                        if (isDetached) events.trySend(event) else events.send(event)
                    }
                } finally {
                    events.close()
                }
            }
            val first = events.receiveCatching().getOrNull()
            if (first == null) {
                pendingOutcome.await().also { respondUnstreamed(call, request.id, it) }
            } else {
                call.setVerdictHeaders(request.id, Verdict.Ran)
                call.respondBytesWriter(ContentType.Text.EventStream) {
                    writeEvent(first.data)
                    for (event in events) writeEvent(event.data)
                    writeEnd(request.id, pendingOutcome.await())
                }
                pendingOutcome.await()
            }
        }

    private suspend fun respondUnstreamed(
        call: ApplicationCall,
        id: RequestId,
        outcome: RequestOutcome
    ) {
        val stored = outcome.response ?: return call.respondOutcome(id, outcome)
        call.setVerdictHeaders(id, outcome.verdict)
        if (outcome.isReplayed) call.response.header("X-Replayed", "true")
        call.respondBytesWriter(ContentType.Text.EventStream) {
            writeEvent(StoredResponses.toStreamChunk(stored))
            writeEvent(DONE)
        }
    }

    private suspend fun ByteWriteChannel.writeEvent(data: String) {
        writeStringUtf8("data: $data\n\n")
        flush()
    }

    private suspend fun ByteWriteChannel.writeEnd(id: RequestId, outcome: RequestOutcome) {
        if (outcome.verdict is Verdict.Ran) return writeEvent(DONE)
        writeStringUtf8("event: error\n")
        writeEvent(errorBody(id, outcome.verdict, "the answer is not complete"))
    }

    private suspend fun ReceivedRequest.refuse(reason: RefusalReason, message: String) {
        metrics.onRequestEnd(null, Verdict.NotRun(reason), 0)
        refusals.add(reason)
        call.respondRefusal(id, reason, message)
    }

    private class ReceivedRequest(
        val call: ApplicationCall,
        val id: RequestId,
        val caller: CallerId,
        val text: String,
        val span: Span
    ) {
        /** The request once it is admitted. */
        var admitted: CallerRequest? = null
    }

    private companion object {
        const val DONE = "[DONE]"
        const val EVENT_BUFFER = 256
        const val UNREADY_RETRY_MS = 1_000L
    }
}
