package org.bronzetide.edge

import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket
import kotlinx.coroutines.delay
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment

/** The caller of a stream breaks its connection. */
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

    private fun start() {
        environment.writeManifest()
        environment.start()
    }

    private fun ask(timeoutMs: Int, then: String) = Socket().apply {
        receiveBufferSize = SMALL_BUFFER_BYTES
        soTimeout = 1_000
        connect(InetSocketAddress("127.0.0.1", environment.settings.callerAddress.port))
        val request = "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id\r\n" +
            "X-Api-Key: key-1\r\nDeadline-Ms: $timeoutMs\r\nContent-Length: 0\r\n\r\n"
        getOutputStream().write((request + then).encodeToByteArray())
    }

    private fun readUntil(input: InputStream, end: String) {
        val received = StringBuilder()
        while (!received.endsWith(end)) {
            received.append(input.read().also { check(it >= 0) }.toChar())
        }
    }

    private companion object {
        const val SMALL_BUFFER_BYTES = 2_048
    }
}
