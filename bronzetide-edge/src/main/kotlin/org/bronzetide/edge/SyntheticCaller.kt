package org.bronzetide.edge

import org.bronzetide.http.ConnectionPool
import org.bronzetide.http.Header
import org.bronzetide.http.OutgoingRequest
import org.bronzetide.platform.fleet.PlatformHeaders

/** A caller for rehearsals, of an entry that listens on loopback. */
internal class SyntheticCaller(
    private val pool: ConnectionPool,
    private val port: Int,
    private val host: String,
    private val apiKey: String
) {
    private var requestCount = 0

    /**
     * Sends a request to [path] with a deadline of [timeoutMs] milliseconds and reads the response.
     *
     * @throws java.io.IOException if the connection breaks.
     */
    suspend fun send(path: String, timeoutMs: Long) {
        val connection = pool.acquire(LOOPBACK, port)
        val headers = listOf(
            Header("Host", host),
            Header(PlatformHeaders.REQUEST_ID, "rehearsal-${requestCount++}"),
            Header(PlatformHeaders.DEADLINE_MS, timeoutMs.toString()),
            Header(PlatformHeaders.API_KEY, apiKey),
            Header(PlatformHeaders.TOKENS, "100,20")
        )
        val body = ByteArray(SyntheticTarget.MAX_BODY_BYTES)
        connection.send(OutgoingRequest("POST", path, headers, body))
        val response = connection.receive()
        response.body.readAll(MAX_RESPONSE_BYTES)
        pool.release(LOOPBACK, port, connection, response)
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val MAX_RESPONSE_BYTES = 10_000
    }
}
