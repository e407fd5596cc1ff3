package org.bronzetide.edge.entry

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.coroutines.EmptyCoroutineContext
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.SessionServer
import org.bronzetide.platform.fleet.CallerLimits
import org.slf4j.LoggerFactory

/**
 * When idle connections of callers are closed. Guards against requests that were read and whose
 * connection is closed without an answer. Without routes, each request is answered with 404.
 */
class IdleConnectionTest {
    private val server = SessionServer()

    @AfterTry
    fun close() = server.close()

    @Example
    fun requestThatArrivesAtTheIdleTimeoutIsAnswered() = connected { socket ->
        Thread.sleep(100)
        blockLoop(400)
        Thread.sleep(50)
        assertThat(statusOf(socket)).isEqualTo("404")
    }

    /** Guards against requests that are taken by a process which ends before they do. */
    @Example
    fun requestThatArrivesWhenIdleConnectionsAreClosedForAStopIsRefused() = connected { socket ->
        blockLoop(200)
        Thread.sleep(50)
        server.inFlightRequests.closeIdleConnections()
        assertThat(statusOf(socket)).isEqualTo("503")
    }

    @Example
    fun newConnectionOfAProcessThatStopsIsClosedOrRefused() {
        server.inFlightRequests.closeIdleConnections()
        repeat(10) { connected { assertThat(statusOf(it)).isIn("503", "closed") } }
    }

    @Example
    fun longerIdleTimeoutHoldsForConnectionsThatAreIdle() = connected { socket ->
        Thread.sleep(100)
        server.limits = CallerLimits(idleTimeoutMs = 5_000)
        Thread.sleep(500)
        assertThat(statusOf(socket)).isEqualTo("404")
    }

    @Example
    fun connectionThatStaysIdleIsClosed() = connected { socket ->
        Thread.sleep(600)
        assertThat(socket.getInputStream().read()).isEqualTo(-1)
    }

    /** Guards against closes that cannot be told from a request that was cut without an answer. */
    @Example
    fun closesByTheHostAreLogged() {
        val lines = ListAppender<ILoggingEvent>().apply { list = CopyOnWriteArrayList() }
        val logger = LoggerFactory.getLogger("decisions") as Logger
        logger.addAppender(lines.apply { start() })
        try {
            connected { assertThat(it.getInputStream().read()).isEqualTo(-1) }
            connected { socket ->
                Thread.sleep(100)
                server.inFlightRequests.closeIdleConnections()
                assertThat(socket.getInputStream().read()).isEqualTo(-1)
            }
        } finally {
            logger.detachAppender(lines)
        }
        val closes = lines.list.filter { it.message == "connection closed" }.map { line ->
            line.keyValuePairs.filter { it.key == "reason" || it.key == "unreadInput" }
                .map { "${it.value}" }
        }
        assertThat(closes).containsExactly(listOf("idle", "false"), listOf("drain", "false"))
    }

    private fun connected(block: (Socket) -> Unit) =
        Socket("127.0.0.1", server.port).use { socket ->
            socket.soTimeout = 5_000
            block(socket)
        }

    /** Keeps the thread of all connections busy, so that what happens meanwhile is seen at once. */
    private fun blockLoop(ms: Long) =
        server.loop.dispatch(EmptyCoroutineContext) { Thread.sleep(ms) }

    /** Sends a request and returns the status of the response, or what arrived in its place. */
    private fun statusOf(socket: Socket): String {
        val request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n".encodeToByteArray()
        runCatching { socket.getOutputStream().write(request) }
        val line = try {
            socket.getInputStream().bufferedReader().readLine()
        } catch (_: java.net.SocketException) {
            // The connection was reset, as it was closed before the request was read.
            null
        }
        return line?.split(' ')?.get(1) ?: "closed"
    }
}
