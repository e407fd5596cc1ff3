package org.bronzetide.edge.entry

import java.io.IOException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.forwarding.Admission
import org.bronzetide.edge.forwarding.Call
import org.bronzetide.edge.forwarding.ForwardingResult
import org.bronzetide.edge.forwarding.RequestForwarder
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.http.BodyTooLargeException
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.Header
import org.bronzetide.http.IncomingRequest
import org.bronzetide.http.MalformedMessageException
import org.bronzetide.platform.fleet.CallerLimits
import org.bronzetide.platform.fleet.RequestMetadata

/** Serves the requests of one caller's connection, one after the other. */
internal class CallerSession(
    private val connection: CallerConnection,
    private val dependencies: Dependencies
) {
    /** What every session uses. */
    class Dependencies(
        val clock: MonotonicClock,
        val admissionController: AdmissionController,
        val forwarder: RequestForwarder,
        val limits: () -> CallerLimits,
        val inFlightRequests: InFlightRequests,
        val log: DecisionLog,
        val metrics: EdgeMetrics
    )

    suspend fun run() {
        try {
            while (serveNext()) Unit
            connection.closeAfterFlush()
        } catch (cause: MalformedMessageException) {
            dependencies.log.request("malformed request", null, "detail" to cause.message)
            refuseAndEnd(BAD_REQUEST)
        } catch (_: BodyTooLargeException) {
            refuseAndEnd(TOO_LARGE)
        } finally {
            connection.close()
        }
    }

    private suspend fun serveNext(): Boolean {
        val limits = dependencies.limits()
        if (!awaitRequest(limits.idleTimeoutMs)) return false
        val arrivedAtMs = dependencies.clock.nowMs()
        val request = withTimeoutOrNull(limits.headerTimeoutMs) {
            connection.receive()
                ?: endOfInput()
        }
        if (request == null) {
            refuseAndEnd(REQUEST_TIMEOUT)
            return false
        }
        return dependencies.inFlightRequests.track { serve(request, limits, arrivedAtMs) }
    }

    /** Waits for a request's first byte; ends when the connection is idle too long or stops. */
    private suspend fun awaitRequest(idleTimeoutMs: Long): Boolean = coroutineScope {
        val arrival = async { connection.awaitRequest() }
        val stop = launch {
            dependencies.inFlightRequests.awaitIdleClose()
            arrival.cancel()
        }
        val hasRequest = try {
            withTimeoutOrNull(idleTimeoutMs) { arrival.await() } ?: false
        } catch (cause: CancellationException) {
            if (!arrival.isCancelled) throw cause
            false
        }
        arrival.cancel()
        stop.cancel()
        hasRequest
    }

    private suspend fun serve(
        request: IncomingRequest,
        limits: CallerLimits,
        arrivedAtMs: Long
    ): Boolean {
        if (request.headers.sumOf { it.name.length + it.value.length + LINE_BYTES } >
            limits.maxHeaderBytes
        ) {
            refuseAndEnd(HEADERS_TOO_LARGE)
            return false
        }
        if (request.headers["Expect"] != null) connection.sendContinue()
        val waitsMs = RequestMetadata.of(request.headers).timeoutMs ?: limits.idleTimeoutMs
        val body = withTimeoutOrNull(waitsMs) { request.body.readAll(limits.maxBodyBytes) }
        if (body == null) {
            refuseAndEnd(REQUEST_TIMEOUT)
            return false
        }
        return when (
            val admission = dependencies.admissionController.admit(
                request,
                body,
                arrivedAtMs
            )
        ) {
            is Admission.Refused -> refuse(request, admission, arrivedAtMs)
            is Admission.Admitted -> exchange(admission.call)
        }
    }

    private suspend fun refuse(
        request: IncomingRequest,
        refusal: Admission.Refused,
        arrivedAtMs: Long
    ): Boolean {
        val id = RequestMetadata.of(request.headers).requestId
        dependencies.log.request(
            "refused",
            id,
            "status" to refusal.status,
            "reason" to refusal.reason,
            "retryAfterMs" to refusal.retryAfterMs,
            "path" to request.path,
            *refusal.logFields.toTypedArray()
        )
        val keeps = request.isKeepAlive && !dependencies.inFlightRequests.isDraining
        val headers = RequestForwarder.refusalHeaders(id, refusal.retryAfterMs)
        connection.send(refusal.status, headers + closing(keeps), ByteArray(0))
        val tookMs = dependencies.clock.nowMs() - arrivedAtMs
        dependencies.metrics.onRequestEnd(refusal.priority, refusal.status, refusal.reason, tookMs)
        return keeps
    }

    /** Runs the exchange while watching for the caller's leaving, which cancels it. */
    private suspend fun exchange(call: Call): Boolean {
        val ended = coroutineScope {
            val work = async {
                try {
                    dependencies.forwarder.forward(call, connection)
                } catch (cause: IOException) {
                    // Only writes to the caller throw here; sends to targets give results.
                    ForwardingResult(
                        CALLER_LEFT,
                        "caller's connection broke: ${cause.message}",
                        false,
                        false
                    )
                }
            }
            val watch = launch { if (connection.awaitClose()) work.cancel() }
            try {
                work.await()
            } catch (cause: CancellationException) {
                if (!work.isCancelled) throw cause
                ForwardingResult(
                    CALLER_LEFT,
                    "caller left",
                    isConnectionReusable = false,
                    hasNotRun = false
                )
            } finally {
                watch.cancel()
            }
        }
        if (ended.hasNotRun) dependencies.admissionController.refund(call)
        withContext(NonCancellable) { report(call, ended) }
        return ended.isConnectionReusable &&
            call.request.isKeepAlive &&
            !dependencies.inFlightRequests.isDraining
    }

    private fun report(call: Call, ended: ForwardingResult) {
        val tookMs = dependencies.clock.nowMs() - call.arrivedAtMs
        dependencies.log.request(
            "ended", call.requestId, "status" to ended.status, "reason" to ended.reason,
            "notRun" to ended.hasNotRun, "tookMs" to tookMs,
            "firstEventMs" to ended.stream?.let { it.firstEventAtMs - call.arrivedAtMs },
            "longestPauseMs" to ended.stream?.longestPauseMs, "events" to ended.stream?.eventCount
        )
        val reason = ended.reason.substringBefore(':').substringBefore('(')
        dependencies.metrics.onRequestEnd(call.priority, ended.status, reason, tookMs)
    }

    private suspend fun refuseAndEnd(status: Int) {
        connection.send(status, closing(keeps = false), ByteArray(0))
        connection.closeAfterFlush()
    }

    private fun closing(keeps: Boolean): List<Header> =
        if (keeps) emptyList() else listOf(Header("Connection", "close"))

    private fun endOfInput(): Nothing = throw IOException("caller ended within a request")

    private companion object {
        const val BAD_REQUEST = 400
        const val REQUEST_TIMEOUT = 408
        const val TOO_LARGE = 413
        const val HEADERS_TOO_LARGE = 431

        /** Logged in place of a status where the caller is gone. */
        const val CALLER_LEFT = 499

        /** What a header line has beside its name and value. */
        const val LINE_BYTES = 4
    }
}
