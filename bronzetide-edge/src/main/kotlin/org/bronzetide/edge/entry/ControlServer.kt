package org.bronzetide.edge.entry

import org.bronzetide.http.CallerConnection
import org.bronzetide.http.Header
import org.bronzetide.http.IncomingRequest

/**
 * Serves small GET endpoints by path, such as readiness, metrics and status. [queries] are those
 * that depend on the request.
 */
internal class ControlServer(
    private val endpoints: Map<String, () -> Response>,
    private val queries: Map<String, suspend (IncomingRequest) -> Response> = emptyMap()
) {
    /** A response with the content type [type], in plain text or JSON. */
    class Response(val status: Int, val body: String = "", val type: String = "text/plain")

    /** Serves the requests on [connection] until it is closed or its last request is served. */
    suspend fun serve(connection: CallerConnection) {
        while (true) {
            val request = connection.receive() ?: return
            request.body.readAll(MAX_BODY_BYTES)
            val response = respondTo(request)
            connection.send(
                response.status,
                listOf(Header("Content-Type", response.type)),
                response.body.encodeToByteArray()
            )
            if (!request.isKeepAlive) return
        }
    }

    private suspend fun respondTo(request: IncomingRequest): Response = when (request.method) {
        "GET" ->
            endpoints[request.path]?.invoke()
                ?: queries[request.path]?.invoke(request)
                ?: Response(NOT_FOUND)

        else -> Response(METHOD_NOT_ALLOWED)
    }

    private companion object {
        const val NOT_FOUND = 404
        const val METHOD_NOT_ALLOWED = 405
        const val MAX_BODY_BYTES = 1_024
    }
}
