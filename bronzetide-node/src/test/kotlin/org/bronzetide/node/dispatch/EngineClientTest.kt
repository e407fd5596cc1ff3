package org.bronzetide.node.dispatch

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.platform.PlatformClients

/**
 * Engines that break off and answer the next connection with anything but the rest of the stream,
 * or send a response twice. Guards against responses in the middle of a stream, cut streams that
 * look complete, and responses that are taken for those to other requests.
 */
class EngineClientTest {
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    private val connections = AtomicInteger()
    private val http = PlatformClients.create()
    private val client = EngineClient(http, MonotonicClock.System, idleTimeoutMs = 2_000)

    @AfterTry
    fun close() {
        server.close()
        http.close()
    }

    @Example
    fun errorAfterACutStreamIsNotPartOfIt() = assertThatStreamStaysCut(
        "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed"
    )

    @Example
    fun emptyResponseDoesNotCompleteACutStream() =
        assertThatStreamStaysCut("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    @Example
    fun endWithoutTheLastTokensDoesNotCompleteACutStream() =
        assertThatStreamStaysCut(HEAD + chunk("data: [DONE]\n\n") + LAST_CHUNK)

    @Example
    fun secondCopyOfAResponseIsNotTakenForTheNextOne() {
        val refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
        serve { number -> if (number == 1) refusal + refusal else HEAD + token(1) + end }
        assertThat(run().first).isInstanceOf(DispatchResult.Incomplete::class.java)
        val (result, text) = run()
        assertThat(result).isInstanceOf(DispatchResult.Finished::class.java)
        assertThat(text).isEqualTo("t1 ")
    }

    /** Guards against a stream that is resumed after an event that its caller lacks. */
    @Example
    fun eventThatCannotBePassedOnIsNotSkipped() {
        serve { HEAD + token(1) + token(2) + end }
        val call =
            EngineCall("http://127.0.0.1:${server.localPort}", "id-1", "{}", promptTokens = 1, null)
        val failure = runCatching {
            runBlocking { withTimeout(20_000) { client.run(call) { throw IOException("full") } } }
        }.exceptionOrNull()
        assertThat(failure).isInstanceOf(EmitException::class.java)
    }

    private fun assertThatStreamStaysCut(resumed: String) {
        serve { number -> if (number == 1) HEAD + token(1) + token(2) else resumed }
        val (result, text) = run()
        assertThat(result).isInstanceOf(DispatchResult.Incomplete::class.java)
        assertThat(text).isEqualTo("t1 t2 ")
    }

    private fun run(): Pair<DispatchResult, String> = runBlocking {
        val text = StringBuilder()
        val url = "http://127.0.0.1:${server.localPort}"
        val call = EngineCall(url, "id-1", "{}", promptTokens = 1, traceparent = null)
        withTimeout(20_000) { client.run(call) { text.append(it.text) } } to text.toString()
    }

    /** Sends [respond] of its number to the first request on each connection, and closes it. */
    private fun serve(respond: (Int) -> String) = thread(isDaemon = true) {
        runCatching {
            while (true) {
                server.accept().use { socket ->
                    if (readHead(socket)) {
                        val response = respond(connections.incrementAndGet())
                        socket.getOutputStream().write(response.encodeToByteArray())
                        socket.shutdownOutput()
                        // Unread input would turn the end of the connection into a reset.
                        socket.soTimeout = 100
                        runCatching { socket.getInputStream().readAllBytes() }
                    }
                }
            }
        }
    }

    private fun readHead(socket: Socket): Boolean {
        val input = socket.getInputStream()
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) return false
            head.append(byte.toChar())
        }
        return true
    }

    private companion object {
        const val HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
            "Transfer-Encoding: chunked\r\n\r\n"
        const val LAST_CHUNK = "0\r\n\r\n"
        val end = chunk(
            "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"
        ) + LAST_CHUNK

        fun token(id: Int) =
            chunk("id: $id\ndata: {\"choices\":[{\"delta\":{\"content\":\"t$id \"}}]}\n\n")

        fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"
    }
}
