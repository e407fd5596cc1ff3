package org.bronzetide.edge.forwarding

import java.io.IOException
import java.net.ConnectException
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.http.ConnectionPool
import org.bronzetide.http.Framing
import org.bronzetide.http.HttpConnection
import org.bronzetide.http.IncomingResponse
import org.bronzetide.http.MalformedMessageException
import org.bronzetide.http.TruncatedMessageException
import org.bronzetide.platform.fleet.PlatformHeaders
import org.bronzetide.platform.fleet.TargetEntry

/**
 * The rules for a response of a target that hold for each way in which a request is sent to it:
 * which response is the request's own, whether it is whole, and what becomes of its connection.
 */
internal class TargetExchange(
    private val pool: ConnectionPool,
    private val metrics: EdgeMetrics,
    /** Is told why no connection to a target could be made. */
    private val onUnconnected: (TargetEntry, IOException) -> Unit = { _, _ -> }
) {
    /**
     * Receives the response to the request with [requestId], skipping those that are not its own,
     * with each of which [onForeign] is called.
     *
     * @throws IOException if the connection breaks or the response is not valid.
     */
    suspend fun receiveOwn(
        connection: HttpConnection,
        requestId: String?,
        onForeign: (status: Int, requestId: String?) -> Unit
    ): IncomingResponse {
        repeat(MAX_FOREIGN_RESPONSES) { index ->
            val response = connection.receive()
            val isFirst = index == 0 && !connection.isReused
            if (ResponseRule.isOwn(response, requestId, isFirst)) return response
            onForeign(response.status, response.headers[PlatformHeaders.REQUEST_ID])
            if (!response.body.skip(MAX_RESPONSE_BYTES)) throw IOException("endless response")
        }
        throw IOException("answers to other requests")
    }

    /**
     * Checks that a response which was read to its end is whole. A crash of the target also ends
     * one that has neither a length nor chunks.
     *
     * @throws IOException if it may not be whole.
     */
    suspend fun requireWhole(
        target: TargetEntry,
        connection: HttpConnection,
        response: IncomingResponse
    ) {
        if (response.framing != Framing.UntilClose) return
        if (hasCrashed(target)) throw IOException("target ended with its response")
        // A reset that answers bytes of the request has arrived within that round trip.
        connection.requireOrderlyEnd()
    }

    /** Whether nothing listens at the address of [target] any more. */
    suspend fun hasCrashed(target: TargetEntry): Boolean = try {
        pool.openIdle(target.address.host, target.address.port)
        false
    } catch (cause: ConnectException) {
        onUnconnected(target, cause)
        true
    } catch (cause: IOException) {
        onUnconnected(target, cause)
        // A target that cannot be reached may still run.
        false
    }

    /** Counts a response that broke off by [cause], and closes the target's idle connections. */
    fun onBrokenOff(target: TargetEntry, cause: IOException) {
        when (cause) {
            is MalformedMessageException -> metrics.onInvalidResponse("malformed")
            is TruncatedMessageException -> metrics.onInvalidResponse("truncated")
        }
        pool.evict(target.address.host, target.address.port)
    }

    /**
     * Returns the connection to the pool if it may carry other requests after this response to the
     * request with [requestId] and a body of [bodyBytes] bytes.
     *
     * A late second copy of the response is told from theirs by its id only, so a response without
     * one ends the connection.
     */
    fun tryRelease(
        target: TargetEntry,
        connection: HttpConnection,
        response: IncomingResponse,
        requestId: String?,
        bodyBytes: Int
    ): Boolean {
        val isReleasable = response.body.isComplete &&
            requestId != null &&
            response.headers[PlatformHeaders.REQUEST_ID] != null &&
            !mayHaveUnreadBody(bodyBytes, response)
        if (!isReleasable) return false
        pool.release(target.address.host, target.address.port, connection, response)
        return true
    }

    /** Whether the target may have responded before it read the whole request body. */
    private fun mayHaveUnreadBody(bodyBytes: Int, response: IncomingResponse): Boolean =
        bodyBytes > SMALL_BODY_BYTES && response.status >= MIN_CLIENT_ERROR

    internal companion object {
        private const val MIN_CLIENT_ERROR = 400
        private const val MAX_FOREIGN_RESPONSES = 3

        /** Responses that are not streamed are small; this caps what a faulty target may send. */
        const val MAX_RESPONSE_BYTES = 4_194_304

        /** Fits into the socket buffers, so the body has been sent before a response arrives. */
        private const val SMALL_BODY_BYTES = 2_048
    }
}
