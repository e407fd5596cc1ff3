package org.bronzetide.edge.entry

import kotlin.random.Random
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.forwarding.Admission
import org.bronzetide.edge.forwarding.Call
import org.bronzetide.edge.forwarding.CallerOutput
import org.bronzetide.edge.forwarding.ForwardingResult
import org.bronzetide.edge.forwarding.RequestForwarder
import org.bronzetide.edge.memory.BodyBudget
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.edge.telemetry.SizeMetrics
import org.bronzetide.http.BodyTooLargeException
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.CallerConnectionException
import org.bronzetide.http.HeadTooLargeException
import org.bronzetide.http.Header
import org.bronzetide.http.IncomingRequest
import org.bronzetide.http.MalformedMessageException
import org.bronzetide.platform.fleet.CallerLimits
import org.bronzetide.platform.fleet.PlatformHeaders
import org.bronzetide.platform.fleet.RequestMetadata

/** Serves the requests of one caller's connection, one after another. */
internal class CallerSession(
    private val connection: CallerConnection,
    private val dependencies: Dependencies
) {
    private val guard = RequestGuard(connection, dependencies)

    /** The id of the latest request on the connection whose head was read. */
    private var lastRequestId: String? = null

    /** Why this host closes the connection before the caller expects that, or `null`. */
    private var closeReason: String? = null

    /** The components that all sessions share. */
    class Dependencies(
        val clock: MonotonicClock,
        val admissionController: AdmissionController,
        val forwarder: RequestForwarder,
        val limits: () -> CallerLimits,
        val inFlightRequests: InFlightRequests,
        val bodies: BodyBudget,
        val log: DecisionLog,
        val metrics: EdgeMetrics
    )

    /**
     * Serves requests until the connection is closed by the caller, is idle too long, or is closed
     * for the drain.
     *
     * @throws CallerConnectionException if the connection breaks.
     */
    suspend fun run() {
        try {
            while (serveNext()) Unit
            closeReason?.let(::logClose)
            // A caller that does not read would otherwise keep this connection for ever.
            withTimeoutOrNull(CallerOutput.MIN_END_MS) { connection.closeAfterFlush() }
        } catch (cause: MalformedMessageException) {
            logMalformed(null, cause)
            refuseAndClose(BAD_REQUEST)
        } catch (_: HeadTooLargeException) {
            refuseAndClose(HEADERS_TOO_LARGE)
        } finally {
            connection.close()
        }
    }

    private suspend fun serveNext(): Boolean {
        if (!awaitRequest()) return false
        val limits = dependencies.limits()
        val arrivedAtMs = dependencies.clock.nowMs()
        val request = withTimeoutOrNull(limits.headerTimeoutMs) {
            connection.receive() ?: failOnEndOfInput()
        }
        if (request == null) {
            refuseAndClose(REQUEST_TIMEOUT)
            return false
        }
        lastRequestId = request.headers[PlatformHeaders.REQUEST_ID]
        val exchange = RequestGuard.Exchange(request, arrivedAtMs)
        val mayContinue = dependencies.inFlightRequests.track {
            guard.run(exchange) { serve(exchange, limits) }
        }
        if (!mayContinue && request.isKeepAlive) {
            closeReason = when {
                exchange.hasFailed -> "failure"
                isClosing -> "drain"
                else -> null
            }
        }
        return mayContinue
    }

    /**
     * Waits for the first byte of a request. Returns `false` if the connection was idle for the
     * limit that is in force then, was closed by the caller, or is closed for the drain. A request
     * that has arrived by then is served.
     */
    private suspend fun awaitRequest(): Boolean = coroutineScope {
        val sinceMs = dependencies.clock.nowMs()
        val arrival = async { connection.awaitRequest() }
        val idleCloser = launch {
            dependencies.inFlightRequests.awaitIdleClose()
            arrival.cancel()
        }
        while (!arrival.isCompleted) {
            val idleMs = dependencies.clock.nowMs() - sinceMs
            val remainingMs = dependencies.limits().idleTimeoutMs - idleMs
            if (remainingMs <= 0) arrival.cancel()
            withTimeoutOrNull(remainingMs.coerceAtLeast(1)) { arrival.join() }
        }
        idleCloser.cancel()
        if (!arrival.isCancelled) return@coroutineScope arrival.await()
        if (!connection.hasInput) closeReason = if (isClosing) "drain" else "idle"
        closeReason == null
    }

    private val isClosing: Boolean
        get() = dependencies.inFlightRequests.run { isDraining || isClosed }

    /** Logs a close by this host, and whether bytes that get no answer have arrived by then. */
    private fun logClose(reason: String) = dependencies.log.request(
        "connection closed",
        null,
        "reason" to reason,
        "unreadInput" to connection.hasInput,
        "lastRequestId" to lastRequestId,
        "caller" to connection.remoteAddress
    )

    private suspend fun serve(exchange: RequestGuard.Exchange, limits: CallerLimits): Boolean {
        val request = exchange.request
        if (request.headers.sumOf { it.name.length + it.value.length + HEADER_OVERHEAD_BYTES } >
            limits.maxHeaderBytes
        ) {
            refuseAndClose(HEADERS_TOO_LARGE)
            return false
        }
        if (request.headers["Expect"] != null) connection.sendContinue()
        val bodyTimeoutMs = RequestMetadata.of(request.headers).timeoutMs ?: limits.idleTimeoutMs
        if (dependencies.inFlightRequests.isClosed) {
            refuseWithBody(exchange, stopping, limits, bodyTimeoutMs)
            return false
        }
        return when (val body = readBody(request, limits, bodyTimeoutMs)) {
            is BodyRead.Complete -> body.held.use { serve(exchange, it.bytes) }

            is BodyRead.NoRoom -> {
                val refusal = Admission.Refused(
                    UNAVAILABLE,
                    "body budget",
                    BODY_RETRY_AFTER_MS + Random.nextLong(BODY_RETRY_AFTER_MS),
                    logFields = listOf("heldBytes" to dependencies.bodies.heldBytes)
                )
                refuseWithBody(exchange, refusal, limits, bodyTimeoutMs)
                false
            }

            is BodyRead.Invalid -> {
                refuseAndClose(body.status)
                false
            }
        }
    }

    private suspend fun readBody(
        request: IncomingRequest,
        limits: CallerLimits,
        timeoutMs: Long
    ): BodyRead = try {
        val maxWaitMs = minOf(MAX_BODY_WAIT_MS, timeoutMs / BODY_WAIT_DIVISOR)
        val held = withTimeout(timeoutMs) {
            dependencies.bodies.read(request.body, limits.maxBodyBytes, maxWaitMs)
        }
        if (held == null) BodyRead.NoRoom else BodyRead.Complete(held)
    } catch (_: TimeoutCancellationException) {
        BodyRead.Invalid(REQUEST_TIMEOUT)
    } catch (_: BodyTooLargeException) {
        BodyRead.Invalid(CONTENT_TOO_LARGE)
    } catch (cause: MalformedMessageException) {
        logMalformed(request.headers[PlatformHeaders.REQUEST_ID], cause)
        BodyRead.Invalid(BAD_REQUEST)
    }

    private sealed class BodyRead {
        class Complete(val held: BodyBudget.HeldBody) : BodyRead()

        /** Other bodies take the memory for bodies. */
        data object NoRoom : BodyRead()

        /** The request gets a response with [status], and the connection is closed. */
        class Invalid(val status: Int) : BodyRead()
    }

    private suspend fun serve(exchange: RequestGuard.Exchange, body: ByteArray): Boolean {
        if (dependencies.inFlightRequests.isClosed) {
            return refuse(exchange, stopping, mayKeepAlive = false)
        }
        val admission = dependencies.admissionController
            .admit(exchange.request, body, exchange.arrivedAtMs)
        return when (admission) {
            is Admission.Refused -> refuse(exchange, admission)

            is Admission.Admitted -> {
                exchange.call = admission.call
                forward(exchange, admission.call)
            }
        }
    }

    /** Refuses a request before its body has been read, and closes the connection. */
    private suspend fun refuseWithBody(
        exchange: RequestGuard.Exchange,
        refusal: Admission.Refused,
        limits: CallerLimits,
        bodyTimeoutMs: Long
    ) {
        val request = exchange.request
        // Callers read the response once they have sent the body.
        try {
            withTimeoutOrNull(bodyTimeoutMs) { request.body.skip(limits.maxBodyBytes) }
        } catch (cause: MalformedMessageException) {
            logMalformed(request.headers[PlatformHeaders.REQUEST_ID], cause)
        }
        refuse(exchange, refusal, mayKeepAlive = false)
    }

    private suspend fun refuse(
        exchange: RequestGuard.Exchange,
        refusal: Admission.Refused,
        mayKeepAlive: Boolean = true
    ): Boolean {
        exchange.mayKeepConnection = mayKeepAlive
        val request = exchange.request
        val metadata = RequestMetadata.of(request.headers)
        val id = metadata.requestId
        dependencies.log.request(
            "refused",
            id,
            "status" to refusal.status,
            "reason" to refusal.reason,
            "retryAfterMs" to refusal.retryAfterMs,
            "path" to request.path,
            "route" to refusal.route,
            "account" to refusal.account,
            "promptTokens" to metadata.promptTokens,
            "takesUp" to metadata.takenUpStream?.firstRequestId,
            "takesUpAfter" to metadata.takenUpStream?.lastEventId,
            *refusal.logFields.toTypedArray()
        )
        val keepAlive =
            mayKeepAlive && request.isKeepAlive && !dependencies.inFlightRequests.isDraining
        val headers = RequestForwarder.refusalHeaders(id, refusal.retryAfterMs)
        connection.send(refusal.status, headers + connectionHeader(keepAlive), ByteArray(0))
        val tookMs = dependencies.clock.nowMs() - exchange.arrivedAtMs
        dependencies.metrics.onRequestEnd(refusal.priority, refusal.status, refusal.reason, tookMs)
        countBySize(refusal.route, refusal.account, metadata, SizeMetrics.Outcome.REFUSED)
        return keepAlive
    }

    /** Forwards [call] and cancels it when the caller closes the connection. */
    private suspend fun forward(exchange: RequestGuard.Exchange, call: Call): Boolean {
        val result = coroutineScope {
            val forwarding = async {
                try {
                    dependencies.forwarder.forward(call, connection)
                } catch (cause: CallerConnectionException) {
                    ForwardingResult(
                        CLIENT_CLOSED_REQUEST,
                        "caller's connection broke: ${cause.message}",
                        isConnectionReusable = false,
                        call.runs.hasNotRun
                    )
                }
            }
            var hasCallerLeft = false
            val disconnectWatcher = launch {
                if (!connection.awaitClose()) return@launch
                hasCallerLeft = true
                forwarding.cancel()
            }
            try {
                forwarding.await()
            } catch (cause: CancellationException) {
                if (!hasCallerLeft) throw cause
                ForwardingResult(
                    CLIENT_CLOSED_REQUEST,
                    "caller left",
                    isConnectionReusable = false,
                    call.runs.hasNotRun
                )
            } finally {
                disconnectWatcher.cancel()
            }
        }
        if (result.hasNotRun) dependencies.admissionController.refund(call)
        withContext(NonCancellable) { report(exchange, call, result) }
        return result.isConnectionReusable &&
            call.request.isKeepAlive &&
            !dependencies.inFlightRequests.isDraining
    }

    private fun report(exchange: RequestGuard.Exchange, call: Call, result: ForwardingResult) {
        val tookMs = dependencies.clock.nowMs() - call.arrivedAtMs
        dependencies.log.request(
            "ended", call.requestId, "status" to result.status, "reason" to result.reason,
            "notRun" to result.hasNotRun, "tookMs" to tookMs,
            "route" to call.route.name, "account" to call.account?.name,
            "promptTokens" to call.metadata.promptTokens,
            "takesUp" to call.metadata.takenUpStream?.firstRequestId,
            "takesUpAfter" to call.metadata.takenUpStream?.lastEventId,
            "firstEventMs" to result.stream?.let { it.firstEventAtMs - call.arrivedAtMs },
            "longestPauseMs" to result.stream?.longestPauseMs,
            "events" to result.stream?.eventCount,
            "mostHeldBytes" to result.stream?.mostHeldBytes?.takeIf { it > 0 }
        )
        exchange.isEndLogged = true
        val reason = result.reason.substringBefore(':').substringBefore('(')
        dependencies.metrics.onRequestEnd(call.priority, result.status, reason, tookMs)
        val outcome = when {
            result.status == CLIENT_CLOSED_REQUEST -> SizeMetrics.Outcome.FAILED
            result.hasNotRun -> SizeMetrics.Outcome.REFUSED
            result.isConnectionReusable && result.status < MIN_ERROR -> SizeMetrics.Outcome.SERVED
            else -> SizeMetrics.Outcome.FAILED
        }
        countBySize(call.route.name, call.account?.name, call.metadata, outcome)
    }

    private fun countBySize(
        route: String?,
        account: String?,
        metadata: RequestMetadata,
        outcome: SizeMetrics.Outcome
    ) {
        val promptTokens = metadata.promptTokens
        if (route == null || promptTokens == null) return
        dependencies.metrics.sizes.onRequestEnd(route, account, promptTokens, outcome)
    }

    private fun logMalformed(requestId: String?, cause: MalformedMessageException) =
        dependencies.log.request("malformed request", requestId, "detail" to cause.message)

    private suspend fun refuseAndClose(status: Int) {
        connection.send(status, connectionHeader(keepAlive = false), ByteArray(0))
        connection.closeAfterFlush()
    }

    private fun connectionHeader(keepAlive: Boolean): List<Header> =
        if (keepAlive) emptyList() else listOf(Header("Connection", "close"))

    private fun failOnEndOfInput(): Nothing =
        throw CallerConnectionException("closed before the headers of a request were complete")

    private companion object {
        const val MIN_ERROR = 400
        const val BAD_REQUEST = 400
        const val UNAVAILABLE = 503

        /** Callers give up what has not been read after a second or a third of their time. */
        const val MAX_BODY_WAIT_MS = 800L
        const val BODY_WAIT_DIVISOR = 4

        /** Another host serves the caller at once. */
        const val STOP_RETRY_AFTER_MS = 20L
        val stopping = Admission.Refused(UNAVAILABLE, "stopping", STOP_RETRY_AFTER_MS)

        /** A large body takes about half a second to arrive; refused callers are spread. */
        const val BODY_RETRY_AFTER_MS = 500L
        const val REQUEST_TIMEOUT = 408
        const val CONTENT_TOO_LARGE = 413
        const val HEADERS_TOO_LARGE = 431

        /** Logged as the status of a request whose caller closed the connection. */
        const val CLIENT_CLOSED_REQUEST = 499

        /** The bytes of a header line beside its name and value: colon, space and line break. */
        const val HEADER_OVERHEAD_BYTES = 4
    }
}
