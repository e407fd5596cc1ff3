package org.bronzetide.http

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.assertj.core.api.Assertions.assertThatThrownBy
import org.bronzetide.coordination.ManualClock

/** A faulty server that sends bytes without end, until the client closes. */
class EndlessInputTest {
    private val loop = TrafficLoop()
    private val pool = ConnectionPool(loop, ManualClock())
    private val server = ServerSocket(0, 10, InetAddress.getByName(HOST))
    private val sentBytes = AtomicLong()

    @AfterTry
    fun close() {
        pool.close()
        server.close()
        loop.close()
    }

    @Example
    fun endlessHeaderLinesEndTheConnection() =
        assertThatReadingFails("HTTP/1.1 200 OK\r\n", "X-Filler: ${"x".repeat(500)}\r\n")

    @Example
    fun endlessStatusLineEndsTheConnection() = assertThatReadingFails("HTTP/1.1 200 ", "x")

    @Example
    fun endlessInterimResponsesEndTheConnection() =
        assertThatReadingFails("", "HTTP/1.1 102 Processing\r\n\r\n")

    @Example
    fun endlessTrailersEndTheConnection() = assertThatReadingFails(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
        "X-Filler: x\r\n"
    )

    @Example
    fun endlessChunkSizeEndsTheConnection() =
        assertThatReadingFails("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0")

    @Example
    fun endlessChunkExtensionEndsTheConnection() =
        assertThatReadingFails("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x")

    @Example
    fun endlessBodyEndsAtTheReadersLimit() =
        assertThatReadingFails("HTTP/1.1 200 OK\r\n\r\n", "x".repeat(1_000))

    private fun assertThatReadingFails(start: String, repeated: String) {
        thread(isDaemon = true) { sendWithoutEnd(start, repeated) }
        assertThatThrownBy {
            runBlocking {
                withTimeout(TIMEOUT_MS) {
                    val connection = pool.acquire(HOST, server.localPort)
                    connection.use {
                        it.send(OutgoingRequest("GET", "/", emptyList()))
                        it.receive().body.readAll(MAX_BODY_BYTES)
                    }
                }
            }
        }.isInstanceOf(IOException::class.java)
        // The rest fills the socket's buffers.
        assertThat(sentBytes.get()).isLessThan(MAX_SENT_BYTES)
    }

    private fun sendWithoutEnd(start: String, repeated: String) {
        val output = server.accept().getOutputStream()
        val block = repeated.repeat(maxOf(1, BLOCK_BYTES / repeated.length)).encodeToByteArray()
        try {
            output.write(start.encodeToByteArray())
            while (sentBytes.get() < MAX_SENT_BYTES) {
                output.write(block)
                sentBytes.addAndGet(block.size.toLong())
            }
        } catch (_: IOException) {
            // The client has closed.
        }
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val TIMEOUT_MS = 5_000L
        const val BLOCK_BYTES = 8_192
        const val MAX_BODY_BYTES = 100_000
        const val MAX_SENT_BYTES = 64_000_000L
    }
}
