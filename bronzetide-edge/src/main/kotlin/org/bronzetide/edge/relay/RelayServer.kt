package org.bronzetide.edge.relay

import java.io.IOException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.NodeId
import org.bronzetide.edge.entry.InFlightRequests
import org.bronzetide.edge.forwarding.ProcessEnd
import org.bronzetide.edge.memory.BodyBudget
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.http.BodyTooLargeException
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.CallerConnectionException
import org.bronzetide.http.HeadTooLargeException
import org.bronzetide.http.Header
import org.bronzetide.http.IncomingRequest
import org.bronzetide.http.MalformedMessageException
import org.bronzetide.http.ResponseProgress
import org.bronzetide.platform.fleet.CallerLimits

/**
 * Relays the requests of other hosts that cannot reach their targets, see [RelayProtocol].
 *
 * The senders have admitted the requests and decide how long to wait for them. A sender that closes
 * its connection ends its request, and the connection to the target is closed at once. In a drain,
 * connections stay open until the senders know of it: a request that meets a close is in doubt,
 * while one that is refused is not.
 *
 * Confined to the thread of the traffic loop.
 */
internal class RelayServer(
    private val forwarder: RelayForwarder,
    private val dependencies: Dependencies,
    private val maxInProgress: Int = MAX_IN_PROGRESS,
    private val idleTimeoutMs: Long = IDLE_TIMEOUT_MS
) {
    /** The components that the host's other servers use as well. */
    class Dependencies(
        val clock: MonotonicClock,
        /** Whether a process is another host of the fleet. */
        val isPeer: (NodeId) -> Boolean,
        val limits: () -> CallerLimits,
        val inFlightRequests: InFlightRequests,
        val bodies: BodyBudget,
        val processEnd: ProcessEnd,
        val log: DecisionLog,
        val metrics: EdgeMetrics
    )

    /** The number of requests that are relayed now. May be read by any thread. */
    @Volatile
    var inProgressCount = 0
        private set

    /**
     * Serves requests on [connection], one after another, until the sender closes it, it is idle
     * for too long, or it is closed for the drain.
     *
     * @throws CallerConnectionException if the connection breaks.
     */
    suspend fun serve(connection: CallerConnection) {
        try {
            while (awaitRequest(connection) && serveNext(connection)) Unit
            val isComplete = connection.responseProgress == ResponseProgress.COMPLETE
            if (isComplete) closeAfterFlush(connection)
        } catch (cause: MalformedMessageException) {
            dependencies.log.request("malformed request", null, "detail" to cause.message)
            reject(connection, BAD_REQUEST)
        } catch (_: HeadTooLargeException) {
            reject(connection, HEADERS_TOO_LARGE)
        } finally {
            connection.close()
        }
    }

    /** Waits for the first byte of a request; returns `false` if there is to be none. */
    private suspend fun awaitRequest(connection: CallerConnection): Boolean {
        val hasArrived = coroutineScope {
            val arrival = async { connection.awaitRequest() }
            val idleCloser = launch {
                dependencies.inFlightRequests.awaitIdleClose()
                arrival.cancel()
            }
            withTimeoutOrNull(idleTimeoutMs) { arrival.join() } ?: arrival.cancel()
            idleCloser.cancel()
            if (arrival.isCancelled) null else arrival.await()
        }
        return hasArrived ?: connection.hasInput
    }

    private suspend fun serveNext(connection: CallerConnection): Boolean {
        val request = withTimeoutOrNull(dependencies.limits().headerTimeoutMs) {
            connection.receive()
        } ?: return false
        val relayed = RelayedRequest(request, dependencies.clock.nowMs())
        dependencies.inFlightRequests.track {
            try {
                serve(connection, relayed)
            } finally {
                relayed.releaseBody()
                report(relayed, connection.responseStatus)
            }
        }
        return connection.responseProgress == ResponseProgress.COMPLETE && mayKeep(request)
    }

    private suspend fun serve(connection: CallerConnection, relayed: RelayedRequest) {
        val isAccepted = relayed.from?.let(dependencies.isPeer) == true &&
            !dependencies.inFlightRequests.isDraining &&
            inProgressCount < maxInProgress
        if (!isAccepted) return refuse(connection, relayed)
        inProgressCount++
        try {
            relay(connection, relayed)
        } finally {
            inProgressCount--
        }
    }

    /** Relays the request until it ends, the process ends, or the sender's time is over. */
    private suspend fun relay(connection: CallerConnection, relayed: RelayedRequest) {
        val limitMs = relayed.remainingMs(dependencies.clock.nowMs()) + EXPIRY_MARGIN_MS
        var isEnded = false
        relayed.end = RelayedRequest.End.PROCESS_END
        dependencies.processEnd.runUntilEnd {
            isEnded = withTimeoutOrNull(limitMs) { run(connection, relayed) } != null
            if (!isEnded) relayed.end = RelayedRequest.End.EXPIRED
        }
        val hasResponse = connection.responseProgress != ResponseProgress.NONE
        if (!isEnded && !relayed.isSent && !hasResponse) {
            respond(connection, relayed, RelayProtocol.Result.UNAVAILABLE)
        }
    }

    private suspend fun run(connection: CallerConnection, relayed: RelayedRequest) {
        if (!readBody(relayed)) return refuse(connection, relayed)
        coroutineScope {
            val work = launch { exchange(connection, relayed) }
            val closeWatcher = launch {
                // A sender may close as soon as it has the complete response.
                if (!connection.awaitClose() || work.isCompleted) return@launch
                relayed.end = RelayedRequest.End.SENDER_LEFT
                work.cancel()
            }
            work.join()
            closeWatcher.cancel()
        }
    }

    /** Reads the body and returns `true` unless there is no room for it. */
    private suspend fun readBody(relayed: RelayedRequest): Boolean {
        relayed.body = try {
            dependencies.bodies.read(
                relayed.request.body,
                dependencies.limits().maxBodyBytes,
                MAX_BODY_WAIT_MS
            )
        } catch (_: BodyTooLargeException) {
            null
        }
        return relayed.body != null
    }

    private suspend fun exchange(connection: CallerConnection, relayed: RelayedRequest) {
        val bytes = relayed.body?.bytes ?: return
        val beginning = forwarder.begin(relayed, bytes)
        relayed.releaseBody()
        try {
            when (beginning) {
                is RelayForwarder.Beginning.Ended -> respond(connection, relayed, beginning.result)

                is RelayForwarder.Beginning.Responding -> {
                    relayed.result = RelayProtocol.Result.RESPONDED
                    val headers = connectionHeaders(relayed.request)
                    forwarder.passOn(relayed, beginning, connection, headers)
                    relayed.end = RelayedRequest.End.COMPLETE
                }
            }
        } catch (_: CallerConnectionException) {
            relayed.end = RelayedRequest.End.SENDER_LEFT
        } catch (cause: IOException) {
            relayed.end = RelayedRequest.End.BROKEN_OFF
            dependencies.log.requestFailure("relayed response broke off", relayed.requestId, cause)
        }
    }

    /** Tells the sender that the request was not taken. */
    private suspend fun refuse(connection: CallerConnection, relayed: RelayedRequest) {
        // The sender reads the response once it has sent the body.
        withTimeoutOrNull(SKIP_TIMEOUT_MS) {
            relayed.request.body.skip(dependencies.limits().maxBodyBytes)
        }
        respond(connection, relayed, RelayProtocol.Result.UNAVAILABLE)
    }

    private suspend fun respond(
        connection: CallerConnection,
        relayed: RelayedRequest,
        result: RelayProtocol.Result
    ) {
        relayed.result = result
        val status = if (relayed.isSent) BAD_GATEWAY else UNAVAILABLE
        val headers = connectionHeaders(relayed.request) +
            Header(RelayProtocol.RESULT, result.text)
        connection.send(status, headers, ByteArray(0))
        relayed.end = RelayedRequest.End.COMPLETE
    }

    private suspend fun reject(connection: CallerConnection, status: Int) {
        val result = Header(RelayProtocol.RESULT, RelayProtocol.Result.UNAVAILABLE.text)
        connection.send(status, listOf(result, Header("Connection", "close")), ByteArray(0))
        closeAfterFlush(connection)
    }

    private suspend fun closeAfterFlush(connection: CallerConnection) {
        withTimeoutOrNull(CLOSE_TIMEOUT_MS) { connection.closeAfterFlush() }
    }

    private fun connectionHeaders(request: IncomingRequest): List<Header> =
        if (mayKeep(request)) emptyList() else listOf(Header("Connection", "close"))

    private fun mayKeep(request: IncomingRequest): Boolean = request.isKeepAlive &&
        request.body.isComplete &&
        !dependencies.inFlightRequests.isClosed

    private fun report(relayed: RelayedRequest, status: Int?) {
        val result = relayed.result?.text ?: "none"
        val end = relayed.end.name.lowercase()
        dependencies.log.request(
            "relayed",
            relayed.requestId,
            "target" to relayed.targetId,
            "from" to relayed.from?.value,
            "result" to result,
            "end" to end,
            "status" to status,
            "tookMs" to dependencies.clock.nowMs() - relayed.arrivedAtMs,
            "bytes" to relayed.responseBytes
        )
        dependencies.metrics.onRelayed(result, end, relayed.responseBytes)
    }

    private companion object {
        /**
         * Up to 60 KB are held for each, if no sender reads its response: 8 MB of a heap of 64 MB.
         * Bodies of requests have a budget of their own.
         */
        const val MAX_IN_PROGRESS = 128

        /** Well above the time for which a sender keeps an idle connection. */
        const val IDLE_TIMEOUT_MS = 10_000L

        /** Another relay may have room at once. */
        const val MAX_BODY_WAIT_MS = 200L

        /** A body of the largest size arrives in this time on most links. */
        const val SKIP_TIMEOUT_MS = 500L
        const val CLOSE_TIMEOUT_MS = 1_000L

        /** After its time and this, a sender that has not closed has lost its connection. */
        const val EXPIRY_MARGIN_MS = 1_000L
        const val UNAVAILABLE = 503
        const val BAD_GATEWAY = 502
        const val BAD_REQUEST = 400
        const val HEADERS_TOO_LARGE = 431
    }
}
