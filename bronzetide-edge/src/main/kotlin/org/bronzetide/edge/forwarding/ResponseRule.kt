package org.bronzetide.edge.forwarding

import org.bronzetide.http.IncomingResponse
import org.bronzetide.platform.fleet.PlatformHeaders

/**
 * Decides which response belongs to a send, and whether it promises that the request did not run.
 *
 * Targets in trouble send responses twice, late, or without an id. A request whose refusal is
 * believed wrongly runs twice, or has run although its caller was told otherwise. So a refusal is
 * believed under three conditions:
 *
 * - Whose: its id is that of the request. Without an id, nothing but the request can have caused
 *   it: the connection has carried no other request, and this is the first response on it.
 * - On which connection: one that carried no earlier send of the same request, which
 *   [org.bronzetide.http.ConnectionPool.acquire] ensures.
 * - When: it has been read to its end, and no other response to the send has begun.
 */
internal object ResponseRule {
    private const val MISDIRECTED = 421
    private const val MIN_CLIENT_ERROR = 400

    /**
     * Whether [response] belongs to the request with [requestId]. [isFirstOnConnection] tells that
     * no other request has been sent and no other response received on its connection.
     */
    fun isOwn(
        response: IncomingResponse,
        requestId: String?,
        isFirstOnConnection: Boolean
    ): Boolean {
        val ids = response.headers.all(PlatformHeaders.REQUEST_ID).distinct()
        // A target may make up an id for a request that has none.
        if (ids.isEmpty() || requestId == null) return isFirstOnConnection
        return ids.singleOrNull() == requestId
    }

    /** Whether [response], which belongs to a send, promises that the request did not run. */
    fun isRefusal(response: IncomingResponse): Boolean = response.status == MISDIRECTED ||
        (response.status >= MIN_CLIENT_ERROR && response.headers[NOT_EXECUTED] != null)

    private const val NOT_EXECUTED = PlatformHeaders.NOT_EXECUTED
}
