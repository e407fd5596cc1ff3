package org.bronzetide.edge.entry

import org.bronzetide.http.CallerConnection
import org.bronzetide.http.Header
import org.bronzetide.http.IncomingRequest

/** Answers small GET requests by path, such as readiness, metrics and status. */
internal class ControlServer(private val answers: Map<String, () -> Response>) {
    /** An answer in plain text or JSON. */
    class Response(val status: Int, val body: String = "", val type: String = "text/plain")

    suspend fun serve(connection: CallerConnection) {
        while (true) {
            val request = connection.receive() ?: return
            request.body.readAll(MAX_BODY_BYTES)
            val answer = answerTo(request)
            connection.send(
                answer.status,
                listOf(Header("Content-Type", answer.type)),
                answer.body.encodeToByteArray()
            )
            if (!request.isKeepAlive) return
        }
    }

    private fun answerTo(request: IncomingRequest): Response = when (request.method) {
        "GET" -> answers[request.path]?.invoke() ?: Response(NOT_FOUND)
        else -> Response(NOT_ALLOWED)
    }

    private companion object {
        const val NOT_FOUND = 404
        const val NOT_ALLOWED = 405
        const val MAX_BODY_BYTES = 1_024
    }
}
