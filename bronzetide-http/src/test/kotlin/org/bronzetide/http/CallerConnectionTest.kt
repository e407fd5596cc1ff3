package org.bronzetide.http

import java.net.Socket
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

class CallerConnectionTest {
    /** Guards against failures of targets that are taken for the caller's, and the reverse. */
    @Example
    fun eachBreakOfTheCallersConnectionHasATypeOfItsOwn() {
        val failures = listOf(
            failureOf("POST / HTTP/1.1\r\nHo") { it.receive() },
            failureOf("$HEAD\r\nContent-Length: 9\r\n\r\nbo") { it.receive()!!.body.readAll(9) },
            failureOf("$HEAD\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbo") {
                it.receive()!!.body.readAll(9)
            },
            failureOf("") {
                repeat(100) { _ ->
                    it.startResponse(200, emptyList())
                    it.sendChunk(ByteArray(100_000))
                    delay(5)
                }
            }
        )
        assertThat(failures).allMatch { it is CallerConnectionException }
    }

    @Example
    fun malformedBodyIsNoBreakOfTheConnection() {
        val failure = failureOf("$HEAD\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n") {
            it.receive()!!.body.readAll(9)
        }
        assertThat(failure).isInstanceOf(MalformedMessageException::class.java)
    }

    /** Returns what [block] throws on the connection of a caller that sends [bytes] and leaves. */
    private fun failureOf(bytes: String, block: suspend (CallerConnection) -> Unit): Throwable? =
        TrafficLoop().use { loop ->
            val server = TcpServer("127.0.0.1", 0, loop)
            Socket("127.0.0.1", server.port).use { it.getOutputStream().write(bytes.toByteArray()) }
            runBlocking {
                withTimeout(5_000) {
                    withContext(loop) {
                        CallerConnection(server.accept()).use { connection ->
                            runCatching { block(connection) }.exceptionOrNull()
                        }
                    }
                }
            }.also { server.close() }
        }

    private companion object {
        const val HEAD = "POST / HTTP/1.1\r\nHost: h"
    }
}
