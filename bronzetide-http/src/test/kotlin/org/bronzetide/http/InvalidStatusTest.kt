package org.bronzetide.http

import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.assertj.core.api.Assertions.assertThatThrownBy
import org.bronzetide.coordination.ManualClock

/** Guards against a status that HTTP does not define being skipped or passed on as a response. */
class InvalidStatusTest {
    private val loop = TrafficLoop()
    private val pool = ConnectionPool(loop, ManualClock())
    private val server = ServerSocket(0, 10, InetAddress.getByName(HOST))

    @AfterTry
    fun close() {
        pool.close()
        server.close()
        loop.close()
    }

    /** Guards against 000 being taken for an interim response, after which the next one counts. */
    @Example
    fun statusBelow100IsNoInterimResponse() = listOf("000", "001", "99", "099").forEach {
        assertThatThrownBy { receive("HTTP/1.1 $it X\r\n\r\n$FINAL") }.describedAs(it)
            .isInstanceOf(MalformedMessageException::class.java)
    }

    /** Guards against callers that get a status which no client has to understand. */
    @Example
    fun statusAbove599IsNoResponse() = listOf("600", "999").forEach {
        assertThatThrownBy { receive("HTTP/1.1 $it X\r\nContent-Length: 0\r\n\r\n") }
            .describedAs(it).isInstanceOf(MalformedMessageException::class.java)
    }

    @Example
    fun statusesAtTheLimitsAreResponses() {
        val interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 X\r\n\r\n"
        assertThat(receive(interim + FINAL)).isEqualTo(200)
        assertThat(receive("HTTP/1.1 599 X\r\nContent-Length: 0\r\n\r\n")).isEqualTo(599)
    }

    /** Returns the status of the response in [wire]. */
    private fun receive(wire: String): Int {
        thread(isDaemon = true) { server.accept().getOutputStream().write(wire.toByteArray()) }
        return runBlocking {
            withTimeout(TIMEOUT_MS) {
                pool.open(HOST, server.localPort).use {
                    it.send(OutgoingRequest("GET", "/", emptyList()))
                    it.receive().status
                }
            }
        }
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val TIMEOUT_MS = 5_000L
        const val FINAL = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    }
}
