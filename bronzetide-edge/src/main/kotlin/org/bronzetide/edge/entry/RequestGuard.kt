package org.bronzetide.edge.entry

import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.isActive
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.edge.forwarding.Call
import org.bronzetide.edge.forwarding.RequestForwarder
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.CallerConnectionException
import org.bronzetide.http.Header
import org.bronzetide.http.IncomingRequest
import org.bronzetide.http.ResponseProgress
import org.bronzetide.platform.fleet.PlatformHeaders

/**
 * Gives each request that was read exactly one end, whatever is thrown in its path, errors such as
 * exhausted memory included:
 *
 * - the response, if it was complete;
 * - a close within the response, if that had begun, so that it cannot look complete;
 * - a refusal, if it is certain that no target ran the request and none will;
 * - otherwise a failure that promises nothing.
 */
internal class RequestGuard(
    private val connection: CallerConnection,
    private val dependencies: CallerSession.Dependencies
) {
    /** One request from its head to its end. */
    class Exchange(val request: IncomingRequest, val arrivedAtMs: Long) {
        /** The request once it is admitted, which consumed units of its account's quota. */
        var call: Call? = null

        /** Whether something was thrown in the path of the request. */
        var hasFailed = false

        /** Whether the end of the request was logged. */
        var isEndLogged = false

        /** Whether the response does not announce the end of the connection. */
        var mayKeepConnection = true

        /** Whether no target has run the request, and none will after a failure. */
        val hasNotRun: Boolean get() = call?.runs?.hasNotRun ?: true
    }

    /** Runs [serve] and returns whether the connection may carry another request. */
    suspend fun run(exchange: Exchange, serve: suspend () -> Boolean): Boolean = try {
        serve()
    } catch (cause: Throwable) {
        exchange.hasFailed = true
        // The end must also be written when the process stops, which cancels this coroutine.
        val mayContinue = withContext(NonCancellable) { end(exchange, cause) }
        mayContinue && currentCoroutineContext().isActive
    }

    private suspend fun end(exchange: Exchange, cause: Throwable): Boolean = try {
        when {
            cause is CallerConnectionException -> {
                logEnd(exchange, cause, CLIENT_CLOSED_REQUEST, "caller's connection broke")
                false
            }

            connection.responseProgress == ResponseProgress.NONE -> respond(exchange, cause)

            else -> {
                val isComplete = connection.responseProgress == ResponseProgress.COMPLETE
                val reason = if (isComplete) "failure after the response" else "stream broke off"
                logEnd(exchange, cause, connection.responseStatus, reason)
                isComplete && mayKeep(exchange)
            }
        }
    } catch (failure: Throwable) {
        if (failure !== cause) failure.addSuppressed(cause)
        logFailedEnd(failure)
        // The caller has all of the response, or sees by the close that it does not.
        connection.responseProgress == ResponseProgress.COMPLETE && mayKeep(exchange)
    }

    private suspend fun respond(exchange: Exchange, cause: Throwable): Boolean {
        val call = exchange.call
        val id = exchange.request.headers[PlatformHeaders.REQUEST_ID]
        val hasNotRun = exchange.hasNotRun
        val body = exchange.request.body
        if (!body.isComplete) {
            // Callers read the response once they have sent the body.
            withTimeoutOrNull(SKIP_TIMEOUT_MS) { body.skip(dependencies.limits().maxBodyBytes) }
            exchange.mayKeepConnection = false
        }
        val isLate = call != null && dependencies.clock.nowMs() >= call.deadlineAtMs
        val (status, headers) = when {
            hasNotRun ->
                RequestForwarder.UNAVAILABLE to
                    RequestForwarder.refusalHeaders(id, RequestForwarder.DEFAULT_RETRY_AFTER_MS)

            isLate -> RequestForwarder.GATEWAY_TIMEOUT to RequestForwarder.failureHeaders(id)

            else -> RequestForwarder.BAD_GATEWAY to RequestForwarder.failureHeaders(id)
        }
        val keep = mayKeep(exchange)
        val connectionHeader = if (keep) emptyList() else listOf(Header("Connection", "close"))
        connection.send(status, headers + connectionHeader, ByteArray(0))
        if (hasNotRun && call != null) dependencies.admissionController.refund(call)
        logEnd(exchange, cause, status, "failure")
        return keep
    }

    private fun mayKeep(exchange: Exchange): Boolean = exchange.mayKeepConnection &&
        exchange.request.isKeepAlive &&
        !dependencies.inFlightRequests.isDraining

    private fun logEnd(exchange: Exchange, cause: Throwable, status: Int?, reason: String) {
        val call = exchange.call
        val id = exchange.request.headers[PlatformHeaders.REQUEST_ID]
        val tookMs = dependencies.clock.nowMs() - exchange.arrivedAtMs
        val event = if (exchange.isEndLogged) "failure after the end" else "ended"
        dependencies.log.requestFailure(
            event, id, cause, "status" to status, "reason" to reason,
            "notRun" to exchange.hasNotRun, "tookMs" to tookMs, "path" to exchange.request.path,
            "route" to call?.route?.name, "account" to call?.account?.name
        )
        if (exchange.isEndLogged) return
        exchange.isEndLogged = true
        dependencies.metrics.onRequestEnd(call?.priority, status ?: 0, reason, tookMs)
    }

    /** Logs that the end of a request failed in its turn, if there is memory for a line. */
    private fun logFailedEnd(failure: Throwable) = try {
        dependencies.log.failure("could not end a request", failure)
    } catch (_: Throwable) {
        // The log itself fails, so there is no place left to report it.
    }

    private companion object {
        /** Logged as the status of a request whose caller closed the connection. */
        const val CLIENT_CLOSED_REQUEST = 499

        /** A body of the largest size arrives in this time, in milliseconds, on most links. */
        const val SKIP_TIMEOUT_MS = 500L
    }
}
