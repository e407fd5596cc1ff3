package org.bronzetide.edge

import java.io.ByteArrayOutputStream
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException
import kotlinx.coroutines.delay
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.http.Header

/** The caller of a stream breaks its connection, or does not read from it. */
class BrokenCallerTest {
    private val environment = EdgeTestEnvironment()

    @AfterTry
    fun close() = environment.close()

    /** Guards against streams that run again, and targets that are blamed, for a caller's break. */
    @Example
    fun streamIsNotRunAgainWhenItsCallerBreaksTheConnection() {
        repeat(2) { index ->
            environment.startTarget("t$index", "model") { request, connection ->
                EdgeTestEnvironment.startStream(request, connection)
                repeat(40) {
                    connection.sendChunk(EdgeTestEnvironment.event(it + 1).encodeToByteArray())
                    delay(10)
                }
                connection.finishResponse()
                true
            }
        }
        start()
        // With bytes of a next request, only a write shows that the caller has left.
        val caller = ask(timeoutMs = 3_000, then = "POST")
        readUntil(caller.getInputStream(), "id: 3\n")
        caller.setSoLinger(true, 0)
        caller.close()
        Thread.sleep(1_000)
        assertThat(environment.arrivals).hasSize(1)
    }

    /** Guards against a second response on the connection when the time ends within a head. */
    @Example
    fun responseWhoseHeadIsHalfWrittenAtTheTimeLimitIsTheOnlyOne() {
        environment.startTarget("t", "model") { request, connection ->
            val long = List(LONG_HEADERS) { Header("Long-$it", "x".repeat(LONG_HEADER_BYTES)) }
            connection.startResponse(200, EdgeTestEnvironment.signedHeaders(request) + long)
            connection.sendChunk(EdgeTestEnvironment.event(1).encodeToByteArray())
            connection.finishResponse()
            true
        }
        start()
        val caller = ask(timeoutMs = 400, count = REQUESTS)
        Thread.sleep(2_500)
        val received = caller.use { readAll(it.getInputStream()) }
        assertThat(STATUS.findAll(received).map { it.value }.toList())
            .hasSizeLessThan(REQUESTS).containsOnly("HTTP/1.1 200")
    }

    private fun start() {
        environment.writeManifest()
        environment.start()
    }

    private fun ask(timeoutMs: Int, count: Int = 1, then: String = "") = Socket().apply {
        receiveBufferSize = SMALL_BUFFER_BYTES
        soTimeout = 1_000
        connect(InetSocketAddress("127.0.0.1", environment.settings.callerAddress.port))
        val request = "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id\r\n" +
            "X-Api-Key: key-1\r\nDeadline-Ms: $timeoutMs\r\nContent-Length: 0\r\n\r\n"
        getOutputStream().write((request.repeat(count) + then).encodeToByteArray())
    }

    private fun readUntil(input: InputStream, end: String) {
        val received = StringBuilder()
        while (!received.endsWith(end)) {
            received.append(input.read().also { check(it >= 0) }.toChar())
        }
    }

    /** Reads to the end, or until nothing has arrived for the connection's time limit. */
    private fun readAll(input: InputStream): String {
        val received = ByteArrayOutputStream()
        try {
            input.copyTo(received)
        } catch (_: SocketTimeoutException) {
            // A connection that stays open has a complete response.
        }
        return received.toString()
    }

    private companion object {
        val STATUS = Regex("HTTP/1.1 \\d+")
        const val SMALL_BUFFER_BYTES = 2_048

        // Together more than the buffers of a connection to such a caller hold.
        const val REQUESTS = 100
        const val LONG_HEADERS = 15
        const val LONG_HEADER_BYTES = 8_000
    }
}
