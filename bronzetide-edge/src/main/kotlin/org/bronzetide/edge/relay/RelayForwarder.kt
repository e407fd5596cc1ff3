package org.bronzetide.edge.relay

import java.io.IOException
import java.net.ConnectException
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.forwarding.TargetExchange
import org.bronzetide.edge.state.Departures
import org.bronzetide.edge.state.ref
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.CallerConnectionException
import org.bronzetide.http.ConnectionPool
import org.bronzetide.http.Framing
import org.bronzetide.http.Header
import org.bronzetide.http.HttpConnection
import org.bronzetide.http.IncomingResponse
import org.bronzetide.http.TruncatedMessageException
import org.bronzetide.platform.fleet.TargetEntry
import org.bronzetide.platform.fleet.TargetReport

/**
 * Sends the request of another host to the target that the host has chosen, at most once, and
 * passes the response back.
 *
 * Only targets that are registered in the store can be reached, by id and start. That the request
 * was not sent is reported only before the first byte could have been written. What the target says
 * of itself counts for this host as well, since the target takes it for the sender.
 */
internal class RelayForwarder(
    private val pool: ConnectionPool,
    private val clock: MonotonicClock,
    private val departures: Departures,
    private val statements: TargetStatements,
    private val metrics: EdgeMetrics,
    private val findTarget: (String) -> TargetEntry?,
    private val paths: Paths
) {
    /** What this host knows of its direct paths to targets, and is told of them. */
    class Paths(
        /** Whether this host cannot reach a target, as far as it knows. */
        val isCutOff: (TargetEntry) -> Boolean,
        /** Bytes of a target have arrived. */
        val onHeard: (TargetEntry) -> Unit,
        /** No connection to a target could be made. */
        val onConnectFailed: (TargetEntry, IOException) -> Unit
    )

    private val exchange = TargetExchange(pool, metrics, paths.onConnectFailed)

    /** The beginning of a send. */
    sealed class Beginning {
        /** The target has begun to respond; [passOn] reads the rest, unless it is closed. */
        class Responding(
            val target: TargetEntry,
            val connection: HttpConnection,
            val response: IncomingResponse,
            val requestBodyBytes: Int
        ) : Beginning()

        /** There is no response of the target to pass on, for the reason [result]. */
        class Ended(val result: RelayProtocol.Result) : Beginning()
    }

    /** Sends [relayed] with its [body], unless there is a reason not to, and awaits the head. */
    suspend fun begin(relayed: RelayedRequest, body: ByteArray): Beginning {
        val target = relayed.targetId?.let(findTarget)
            ?.takeIf { it.startHash == relayed.startHash }
            ?: return Beginning.Ended(RelayProtocol.Result.UNKNOWN_TARGET)
        if (isUnwantedBy(target)) return Beginning.Ended(RelayProtocol.Result.UNWANTED)
        if (paths.isCutOff(target)) return Beginning.Ended(RelayProtocol.Result.CUT_OFF)
        val connection = try {
            connect(relayed, target)
        } catch (cause: ConnectException) {
            paths.onConnectFailed(target, cause)
            return Beginning.Ended(RelayProtocol.Result.REFUSED)
        } catch (cause: IOException) {
            paths.onConnectFailed(target, cause)
            return Beginning.Ended(RelayProtocol.Result.UNREACHABLE)
        }
        return send(relayed, target, connection, body)
    }

    private suspend fun isUnwantedBy(target: TargetEntry): Boolean =
        target.isLeaving || target in departures || statements.isResting(target.ref)

    private suspend fun connect(relayed: RelayedRequest, target: TargetEntry): HttpConnection {
        val address = target.address
        // Without an id, a late response to an earlier request could not be told from its own.
        val requestId = relayed.requestId ?: return pool.open(address.host, address.port)
        return if (relayed.needsFreshConnection) {
            pool.acquireFresh(address.host, address.port, requestId)
        } else {
            pool.acquire(address.host, address.port, requestId)
        }
    }

    private suspend fun send(
        relayed: RelayedRequest,
        target: TargetEntry,
        connection: HttpConnection,
        body: ByteArray
    ): Beginning {
        var isOpen = false
        try {
            // The target may have left while the connection was made.
            if (target in departures) return Beginning.Ended(RelayProtocol.Result.UNWANTED)
            val sentAtMs = clock.nowMs()
            relayed.isSent = true
            connection.send(relayed.outgoing(body, sentAtMs))
            val response = exchange.receiveOwn(connection, relayed.requestId) { _, _ ->
                metrics.onForeignResponse()
            }
            paths.onHeard(target)
            val report = TargetReport.of(response.status, response.headers)
            if (report.isLeaving) departures.mark(target)
            statements.onReport(target.ref, report, sentAtMs)
            isOpen = true
            return Beginning.Responding(target, connection, response, body.size)
        } catch (cause: IOException) {
            exchange.onBrokenOff(target, cause)
            val hasCrashed = exchange.hasCrashed(target)
            return Beginning.Ended(
                if (hasCrashed) RelayProtocol.Result.CRASHED else RelayProtocol.Result.FAILED
            )
        } finally {
            if (!isOpen) connection.close()
        }
    }

    /**
     * Passes the response that [beginning] has begun on to [sender]. The next part of it is read
     * when the sender's socket has taken the one before. Its end is passed on only if it is whole.
     *
     * @throws CallerConnectionException if the connection to the sender breaks.
     * @throws IOException if the response breaks off.
     */
    suspend fun passOn(
        relayed: RelayedRequest,
        beginning: Beginning.Responding,
        sender: CallerConnection,
        connectionHeaders: List<Header>
    ) {
        val (target, response) = beginning.target to beginning.response
        var isReleased = false
        try {
            val headers = response.headers.endToEnd().filterNot(RelayedRequest::isOfRelays) +
                Header(RelayProtocol.RESULT, RelayProtocol.Result.RESPONDED.text) +
                connectionHeaders
            // These have no body, not even an empty one in chunks.
            val hasBody = response.status !in statusesWithoutBody
            if (hasBody) {
                sender.startResponse(response.status, headers)
                passBodyOn(relayed, response, sender)
                exchange.requireWhole(target, beginning.connection, response)
            }
            isReleased = exchange.tryRelease(
                target,
                beginning.connection,
                response,
                relayed.requestId,
                beginning.requestBodyBytes
            )
            if (hasBody) {
                sender.finishResponse()
            } else {
                sender.send(response.status, headers, ByteArray(0))
            }
        } catch (cause: CallerConnectionException) {
            // The target is not to blame.
            throw cause
        } catch (cause: IOException) {
            exchange.onBrokenOff(target, cause)
            throw cause
        } finally {
            if (!isReleased) beginning.connection.close()
        }
    }

    private suspend fun passBodyOn(
        relayed: RelayedRequest,
        response: IncomingResponse,
        sender: CallerConnection
    ) {
        while (true) {
            val bytes = response.body.readAvailable() ?: break
            sender.sendChunk(bytes)
            relayed.responseBytes += bytes.size
        }
        // The sender sees chunks, so that it cannot tell that this may be the end of a crash.
        if (response.framing == Framing.UntilClose && relayed.responseBytes == 0L) {
            throw TruncatedMessageException("response ended before its body")
        }
    }

    private companion object {
        val statusesWithoutBody = setOf(204, 304)
    }
}
