package org.bronzetide.edge

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.channels.SocketChannel
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.http.Header
import org.bronzetide.http.OutgoingRequest

/**
 * Targets that send part of a response without a length, and reset the connection before they have
 * read the request. Guards against callers that get that part as a whole response.
 */
class ResetResponseTest {
    private val environment = EdgeTestEnvironment()
    private val targets = CopyOnWriteArrayList<AutoCloseable>()

    @AfterTry
    fun close() {
        targets.forEach { it.close() }
        environment.close()
    }

    @Example
    fun responseThatAResetEndsIsNotPassedOn() {
        start { it.setSoLinger(true, 0) }
        assertThat(environment.ask("/safe/x").body).isEqualTo("whole")
    }

    /** The input ends in an orderly way, and the unread request makes the target reset later. */
    @Example
    fun responseThatAResetFollowsIsNotPassedOn() {
        start { it.shutdownOutput() }
        assertThat(environment.ask("/safe/x").body).isEqualTo("whole")
        assertThat(environment.scrapeMetrics()).contains(
            "bronzetide_edge_invalid_responses_total{fault=\"truncated\"} 1.0"
        )
    }

    /** Guards against the same while the upload is still being written. */
    @Example
    fun responseToPartOfALongUploadIsNotPassedOn() {
        start { it.setSoLinger(true, 0) }
        val body = ByteArray(UPLOAD_BYTES)
        assertThat(environment.ask("/safe/x", body).body).isEqualTo("whole")
    }

    /** Starts two targets, of which the first that gets a request responds with a part of one. */
    private fun start(beforeClose: (Socket) -> Unit) {
        val requests = AtomicInteger()
        repeat(2) { index ->
            val target = Target(requests, beforeClose)
            targets += target
            environment.writeEntry("t$index", "api", target.port, "ready")
        }
        environment.writeManifest()
        environment.start()
    }

    private fun EdgeTestEnvironment.ask(path: String, body: ByteArray) =
        kotlinx.coroutines.runBlocking {
            connect().use { connection ->
                val template = request(path, listOf(Header("X-Api-Key", "key-1")))
                val headers = template.headers
                connection.send(OutgoingRequest("POST", path, headers, body))
                val response = connection.receive()
                val text = response.body.readAll(UPLOAD_BYTES).decodeToString()
                EdgeTestEnvironment.Response(response.status, emptyMap(), text)
            }
        }

    private fun EdgeTestEnvironment.scrapeMetrics() = kotlinx.coroutines.runBlocking {
        pool.open("127.0.0.1", settings.controlAddress.port).use { connection ->
            connection.send(OutgoingRequest("GET", "/metrics", emptyList()))
            connection.receive().body.readAll(1_000_000).decodeToString()
        }
    }

    private class Target(
        private val requests: AtomicInteger,
        private val beforeClose: (Socket) -> Unit
    ) : AutoCloseable {
        private val server = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))
        private val pending = ArrayList<SocketChannel>()
        val port: Int get() = server.localPort

        init {
            thread(isDaemon = true) {
                runCatching { while (true) server.accept().use(::serve) }
            }
        }

        private fun serve(socket: Socket) {
            val id = readRequestId(socket) ?: return
            val head = "HTTP/1.1 200 OK\r\nRequest-Id: $id\r\nResponse-Signature: s\r\n"
            if (requests.incrementAndGet() > 1) {
                val response = "${head}Content-Length: 5\r\n\r\nwhole"
                socket.getOutputStream().write(response.toByteArray())
                // Unread input would turn the end of the connection into a reset.
                socket.shutdownOutput()
                socket.getInputStream().readAllBytes()
                return
            }
            // Closing resets the connection only if there is unread input.
            while (socket.getInputStream().available() == 0) Thread.sleep(1)
            fillBacklog()
            socket.getOutputStream().write("$head\r\npart".toByteArray())
            beforeClose(socket)
        }

        /**
         * Makes the node's next connection time out, so that the reset has arrived when it decides.
         */
        private fun fillBacklog() = repeat(BACKLOG_CONNECTIONS) {
            val channel = SocketChannel.open()
            channel.configureBlocking(false)
            channel.connect(server.localSocketAddress)
            pending += channel
        }

        /** Reads the head byte by byte, so that the body stays unread. */
        private fun readRequestId(socket: Socket): String? {
            val head = StringBuilder()
            while (!head.endsWith("\r\n\r\n")) {
                val byte = socket.getInputStream().read()
                if (byte < 0) return null
                head.append(byte.toChar())
            }
            return head.lineSequence().firstOrNull { it.startsWith("Request-Id: ") }
                ?.substringAfter(": ")
        }

        override fun close() {
            server.close()
            pending.forEach { it.close() }
        }
    }

    private companion object {
        /** Below the limit of the manifest. */
        const val UPLOAD_BYTES = 99_000
        const val BACKLOG_CONNECTIONS = 4
    }
}
