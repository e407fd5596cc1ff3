package org.bronzetide.edge

import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.file.Files
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.soak.SoakNode
import org.bronzetide.edge.standin.EdgeTestEnvironment

/**
 * Many responses at once that are large and have no end, before a process with the memory of the
 * deployment. Guards against a process that they exhaust, with the requests of other callers.
 */
class ResponseMemoryTest {
    private val environment = EdgeTestEnvironment()
    private val server = ServerSocket(0, 400, InetAddress.getByName("127.0.0.1"))
    private val callers = Executors.newCachedThreadPool()
    private val ports = SoakNode.Ports.free(environment.store.port)
    private val directory = Files.createTempDirectory("response-memory-").toFile()
    private val node = SoakNode("n1", IP, ports, seedAddresses = "", directory)

    @AfterTry
    fun close() {
        node.close()
        callers.shutdownNow()
        server.close()
        environment.close()
    }

    @Example
    fun bodiesWithoutEndLeaveMemoryForOthers() = assertThatOthersAreServed("/unsafe/") {
        write("HTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\n\r\n")
        repeat(250) { write("4000\r\n" + "x".repeat(0x4000) + "\r\n") }
    }

    @Example
    fun eventsWithoutEndLeaveMemoryForOthers() = assertThatOthersAreServed("/once/") {
        write("HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n")
        repeat(15) { write("4000\r\n" + "x".repeat(0x4000) + "\r\n") }
    }

    @Example
    fun commentsInPlaceOfEventsLeaveMemoryForOthers() = assertThatOthersAreServed("/once/") {
        write("HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n")
        repeat(900) { write("4002\r\n:" + "x".repeat(0x3FFF) + "\n\n\r\n") }
    }

    @Example
    fun headsWithoutEndLeaveMemoryForOthers() = assertThatOthersAreServed("/unsafe/") {
        write("HTTP/1.1 200 OK\r\n")
        repeat(30) { write("X-$it: " + "x".repeat(4_000) + "\r\n") }
    }

    @Example
    fun streamsThatCallersDoNotReadLeaveMemoryForOthers() {
        startTargets {
            write("HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n")
            val event = "data: " + "x".repeat(0x3FF8) + "\n\n"
            repeat(750) { write("4000\r\n$event\r\n") }
        }
        environment.writeManifest(routes = ROUTES)
        node.start()
        await { runCatching { statusOf("/sound/") == 200 }.getOrDefault(false) }
        val slow = List(SLOW_CALLERS) {
            Socket().apply {
                receiveBufferSize = SMALL_BUFFER_BYTES
                connect(InetSocketAddress(IP, ports.callers))
                getOutputStream().write(request("/once/").encodeToByteArray())
            }
        }
        repeat(30) {
            assertThat(statusOf("/sound/")).isEqualTo(200)
            Thread.sleep(50)
        }
        await { "\"event\":\"caller cut\"" in log() }
        assertThat(statusOf("/sound/")).isEqualTo(200)
        assertThat(node.isRunning).isTrue()
        assertThat(log()).doesNotContain("OutOfMemoryError")
        slow.forEach { it.close() }
    }

    private fun log(): String =
        directory.listFiles { file -> file.extension == "log" }!!.single().readText()

    private fun assertThatOthersAreServed(path: String, respond: Socket.() -> Unit) {
        startTargets(respond)
        environment.writeManifest(routes = ROUTES)
        node.start()
        await { runCatching { statusOf("/sound/") == 200 }.getOrDefault(false) }
        val large = List(CALLERS) { callers.submit(Callable { statusOf(path) }) }
        Thread.sleep(500)
        repeat(30) { assertThat(statusOf("/sound/")).isEqualTo(200) }
        large.forEach { it.get(20, TimeUnit.SECONDS) }
        assertThat(node.isRunning).isTrue()
        assertThat(log()).doesNotContain("OutOfMemoryError")
        assertThat(statusOf("/sound/")).isEqualTo(200)
    }

    private fun startTargets(respond: Socket.() -> Unit) {
        thread(isDaemon = true) {
            runCatching {
                while (true) {
                    val socket = server.accept()
                    thread(isDaemon = true) {
                        runCatching {
                            socket.getInputStream().read(ByteArray(8_192))
                            socket.respond()
                            socket.getInputStream().read()
                        }
                    }
                }
            }
        }
        listOf("api", "model").forEach { service ->
            environment.store.write(
                "servers",
                "endless-$service",
                """{"service":"$service","address":"127.0.0.1:${server.localPort}","zone":"z1",
                    "slots":$CALLERS,"state":"ready","version":"v1"}"""
            )
        }
        environment.startTarget("sound", "sound", EdgeTestEnvironment::sendSignedResponse)
    }

    /** The status of a response that is read to its end, or 0 if its connection ends before. */
    private fun statusOf(path: String): Int = Socket(IP, ports.callers).use { socket ->
        socket.soTimeout = 15_000
        socket.getOutputStream().write(request(path).encodeToByteArray())
        val response = runCatching { socket.getInputStream().readBytes() }.getOrNull()
        response?.decodeToString()?.split(' ')?.getOrNull(1)?.toIntOrNull() ?: 0
    }

    private fun request(path: String) =
        "POST $path HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-1\r\n" +
            "Request-Id: ${System.nanoTime()}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

    private fun await(condition: () -> Boolean) {
        val endNs = System.nanoTime() + 20_000_000_000
        while (!condition()) {
            check(System.nanoTime() < endNs) { "the node does not serve" }
            Thread.sleep(50)
        }
    }

    private fun Socket.write(text: String) = getOutputStream().write(text.encodeToByteArray())

    private companion object {
        const val IP = "127.0.1.9"
        const val CALLERS = 120

        /** With more, the sockets on loopback, some 2 MB each, are not full before the deadline. */
        const val SLOW_CALLERS = 12
        const val SMALL_BUFFER_BYTES = 2_048
        const val ROUTES = EdgeTestEnvironment.ROUTES + """,
            {"name":"sound","host":"h.example","path_prefix":"/sound/","kind":"idempotent",
              "timeout_ms":2000,"target_latency_ms":100,"priority":1,"service":"sound",
              "max_attempts":2}"""
    }
}
