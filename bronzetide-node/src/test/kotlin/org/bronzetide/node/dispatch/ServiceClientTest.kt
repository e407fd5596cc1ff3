package org.bronzetide.node.dispatch

import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.platform.PlatformClients

/** Services that break off within a response. */
class ServiceClientTest {
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    private val http = PlatformClients.create()
    private val client = ServiceClient(http, MonotonicClock.System)

    @AfterTry
    fun close() {
        server.close()
        http.close()
    }

    /** Guards against callers that get the beginning of a head as a whole response that ran. */
    @Example
    fun responseThatStopsWithinItsHeadIsIncomplete() {
        val head = "HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n"
        for (length in "HTTP/1.1 404".length..head.length) {
            assertThat(run(head.take(length))).describedAs(head.take(length))
                .isInstanceOf(DispatchResult.Incomplete::class.java)
        }
        assertThat(run("$head\r\n")).isInstanceOf(DispatchResult.Finished::class.java)
    }

    private fun run(response: String): DispatchResult {
        thread(isDaemon = true) {
            server.accept().use { socket ->
                socket.getInputStream().read(ByteArray(4_096))
                socket.getOutputStream().write(response.encodeToByteArray())
                socket.shutdownOutput()
                runCatching { socket.getInputStream().read() }
            }
        }
        val url = "http://127.0.0.1:${server.localPort}/x"
        val call = ServiceCall(url, "POST", "id-1", "", null, null, null, timeoutMs = 2_000)
        return runBlocking { withTimeout(5_000) { client.run(call) } }
    }
}
