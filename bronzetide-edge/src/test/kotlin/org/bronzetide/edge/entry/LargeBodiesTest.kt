package org.bronzetide.edge.entry

import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlinx.coroutines.delay
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.memory.BodyBudget
import org.bronzetide.edge.standin.SessionServer
import org.bronzetide.platform.fleet.CallerLimits

/** Many large bodies at once. Guards against a process whose memory they exhaust. */
class LargeBodiesTest {
    private val bodies = BodyBudget(largeBytes = 400_000, mediumBytes = 10_000)
    private val heldBytes = CopyOnWriteArrayList<Long>()
    private val server = SessionServer(bodies) {
        heldBytes += bodies.heldBytes
        delay(200)
    }.apply { limits = CallerLimits(maxBodyBytes = 300_000, idleTimeoutMs = 15_000) }

    @AfterTry
    fun close() = server.close()

    @Example
    fun bodiesWaitForTheirPlace() {
        assertThat(statuses(6, isChunked = false)).containsOnly("404")
        assertThat(heldBytes.max()).isLessThanOrEqualTo(400_000)
        assertAllReleased()
    }

    @Example
    fun chunkedBodiesWaitForTheirPlace() {
        assertThat(statuses(3, isChunked = true)).containsOnly("404")
        assertThat(heldBytes.max()).isLessThanOrEqualTo(400_000)
        assertAllReleased()
    }

    @Example
    fun bodiesWithoutAPlaceInTimeAreRefusedAndSmallRequestsAreServed() {
        // The first request of a process takes longer, as it loads classes.
        send(ByteArray(100), isChunked = false)
        val small = CopyOnWriteArrayList<Long>()
        val sender = thread {
            repeat(5) {
                val startNs = System.nanoTime()
                assertThat(send(ByteArray(100), isChunked = false)).isEqualTo("404")
                small += (System.nanoTime() - startNs) / 1_000_000
            }
        }
        val statuses = statuses(40, isChunked = false)
        sender.join()
        assertThat(statuses).containsOnly("404", "503").contains("503", "404")
        assertThat(small).hasSize(5).allMatch { it < 600 }
        assertThat(heldBytes.max()).isLessThanOrEqualTo(400_000)
        assertAllReleased()
    }

    @Example
    fun bodyOverTheLimitIsRefused() {
        assertThat(send(ByteArray(300_001), isChunked = false)).isIn("413", "closed")
        assertAllReleased()
    }

    /** A body is released just after the response to its request has been sent. */
    private fun assertAllReleased() {
        val endNs = System.nanoTime() + 1_000_000_000
        while (bodies.heldBytes > 0 && System.nanoTime() < endNs) Thread.sleep(5)
        assertThat(bodies.heldBytes).isZero()
    }

    private fun statuses(count: Int, isChunked: Boolean): List<String> {
        val statuses = CopyOnWriteArrayList<String>()
        List(count) {
            thread { statuses += send(ByteArray(200_000), isChunked) }
        }.forEach { it.join() }
        return statuses
    }

    /** Sends a request and returns the status of the response, or `closed`. */
    private fun send(body: ByteArray, isChunked: Boolean): String =
        Socket("127.0.0.1", server.port).use { socket ->
            socket.soTimeout = 10_000
            val output = socket.getOutputStream()
            val framing =
                if (isChunked) "Transfer-Encoding: chunked" else "Content-Length: ${body.size}"
            output.write("POST /x HTTP/1.1\r\nHost: h\r\n$framing\r\n\r\n".encodeToByteArray())
            runCatching {
                if (isChunked) output.write("${body.size.toString(16)}\r\n".encodeToByteArray())
                output.write(body)
                if (isChunked) output.write("\r\n0\r\n\r\n".encodeToByteArray())
            }
            val line = runCatching { socket.getInputStream().bufferedReader().readLine() }
            line.getOrNull()?.split(' ')?.get(1) ?: "closed"
        }
}
