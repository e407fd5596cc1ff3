package org.bronzetide.http

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import kotlin.concurrent.thread
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.assertj.core.api.Assertions.assertThatThrownBy
import org.bronzetide.coordination.ManualClock

/** Which connections a pool reuses after the server has closed, reset or kept them. */
class ConnectionPoolTest {
    private val clock = ManualClock()
    private val loop = TrafficLoop()
    private val pool = ConnectionPool(loop, clock)
    private val server = ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"))
    private val accepted = LinkedBlockingQueue<Socket>()

    init {
        thread(isDaemon = true) { while (true) accepted += server.accept() }
    }

    @AfterTry
    fun close() {
        pool.close()
        server.close()
        loop.close()
    }

    @Example
    fun idleConnectionIsReused() = runBlocking {
        exchange("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assertThat(pool.acquire(HOST, server.localPort).isReused).isTrue()
        assertThat(pool.openedCount).isEqualTo(1)
    }

    /** Guards against a response to an earlier send of a request being taken for its own. */
    @Example
    fun connectionThatCarriedARequestIsNotReusedForItsNextSend() = runBlocking {
        exchange("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", requestId = "a")
        assertThat(pool.acquire(HOST, server.localPort, "a").isReused).isFalse()
        assertThat(pool.acquireFresh(HOST, server.localPort, "b").isReused).isTrue()
    }

    @Example
    fun connectionThatWasResetWhileIdleIsNotReused() = runBlocking {
        val socket = exchange("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        socket.setSoLinger(true, 0)
        socket.close()
        Thread.sleep(100)
        pool.evictStale()
        assertThat(pool.acquire(HOST, server.localPort).isReused).isFalse()
    }

    @Example
    fun connectionWithUnexpectedInputIsNotReused() = runBlocking {
        val socket = exchange("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        socket.getOutputStream().write("HTTP/1.1 200 OK\r\n".encodeToByteArray())
        Thread.sleep(100)
        assertThat(pool.acquire(HOST, server.localPort).isReused).isFalse()
    }

    @Example
    fun keepAliveLimitOfTheServerIsObserved() = runBlocking {
        exchange("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n")
        clock.advance(800)
        assertThat(pool.acquire(HOST, server.localPort).isReused).isFalse()
    }

    @Example
    fun responseWithoutLengthThatIsResetIsIncomplete() = runBlocking {
        val connection = pool.acquire(HOST, server.localPort)
        connection.send(OutgoingRequest("GET", "/", emptyList()))
        val socket = accepted.take()
        socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nhalf".encodeToByteArray())
        val received = connection.receive()
        assertThat(received.body.readAvailable()?.decodeToString()).isEqualTo("half")
        socket.setSoLinger(true, 0)
        socket.close()
        assertThatThrownBy { runBlocking { received.body.readAvailable() } }
            .isInstanceOf(IOException::class.java)
        assertThat(received.body.isComplete).isFalse()
    }

    @Example
    fun responseWithoutLengthEndsWithItsConnection() = runBlocking {
        val connection = pool.acquire(HOST, server.localPort)
        connection.send(OutgoingRequest("GET", "/", emptyList()))
        val socket = accepted.take()
        socket.getInputStream().read(ByteArray(1_000))
        socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nall".encodeToByteArray())
        socket.close()
        val received = connection.receive()
        assertThat(received.body.readAll(100).decodeToString()).isEqualTo("all")
        pool.release(HOST, server.localPort, connection, received)
        pool.evictStale()
        assertThat(received.body.isComplete).isTrue()
    }

    /** Sends a request, responds with [response], and returns the server's socket. */
    private suspend fun exchange(response: String, requestId: String? = null): Socket {
        val connection = pool.acquire(HOST, server.localPort, requestId)
        connection.send(OutgoingRequest("GET", "/", emptyList()))
        val socket = accepted.take()
        socket.getInputStream().read(ByteArray(1_000))
        socket.getOutputStream().write(response.encodeToByteArray())
        val received = connection.receive()
        received.body.readAll(100)
        pool.release(HOST, server.localPort, connection, received)
        return socket
    }

    private companion object {
        const val HOST = "127.0.0.1"
    }
}
