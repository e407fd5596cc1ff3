package org.bronzetide.http

import io.ktor.utils.io.readAvailable
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.assertj.core.api.Assertions.assertThatThrownBy

/** Timers, failures, cancelled reads and closed channels on the traffic loop. */
class TrafficLoopTest {
    private val loop = TrafficLoop()
    private val server = ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"))

    @AfterTry
    fun close() {
        server.close()
        loop.close()
    }

    @Example
    fun delaysEndInOrderAlsoWhenScheduledFromOtherThreads() = runBlocking {
        val ended = CopyOnWriteArrayList<Int>()
        // Further apart than the moments at which threads of a busy machine begin.
        val jobs = listOf(600, 200, 400).map { ms ->
            CoroutineScope(Dispatchers.Default).launch {
                withContext(loop) {
                    delay(ms.toLong())
                    ended += ms
                }
            }
        }
        withTimeout(5_000) { jobs.forEach { it.join() } }
        assertThat(ended).containsExactly(200, 400, 600)
    }

    @Example
    fun failedCoroutineDoesNotStopTheLoop() = runBlocking {
        val failed = async(kotlinx.coroutines.SupervisorJob() + loop) { error("on purpose") }
        assertThatThrownBy { runBlocking { failed.await() } }
            .isInstanceOf(IllegalStateException::class.java)
        assertThat(withTimeout(5_000) { withContext(loop) { 1 } }).isEqualTo(1)
    }

    /** Guards against one endless response that keeps all other requests waiting. */
    @Example
    fun peerThatHasMoreInputDoesNotKeepOtherCoroutinesWaiting() = connected { socket, peer ->
        peer.getOutputStream().write(ByteArray(65_536))
        delay(100)
        withContext(loop) {
            socket.input.awaitContent(1)
            var receivedBytes = 0
            val reading = launch {
                val buffer = ByteArray(1_024)
                while (receivedBytes < 65_536) {
                    receivedBytes += socket.input.readAvailable(buffer, 0, buffer.size)
                }
            }
            launch { assertThat(receivedBytes).isLessThanOrEqualTo(16_384) }.join()
            reading.join()
        }
    }

    @Example
    fun cancelledReadLosesNoBytes() = connected { socket, peer ->
        val first = withTimeoutOrNull(50) { socket.input.awaitContent(1) }
        assertThat(first).isNull()
        peer.getOutputStream().write("late".encodeToByteArray())
        assertThat(socket.input.awaitContent(4)).isTrue()
    }

    @Example
    fun closeFailsAWaitingRead() = connected { socket, _ ->
        val read = async(Dispatchers.Default) {
            runCatching { socket.input.awaitContent(1) }.exceptionOrNull()
        }
        delay(50)
        socket.close()
        assertThat(withTimeout(5_000) { read.await() }).isInstanceOf(IOException::class.java)
    }

    /**
     * Guards against a cancelled key that stops the loop: the pool closes idle connections from the
     * control thread, while bytes may arrive on them.
     */
    @Example
    fun channelsClosedByOtherThreadsWhileBytesArriveDoNotStopTheLoop() = runBlocking {
        val address = InetSocketAddress("127.0.0.1", server.localPort)
        repeat(300) {
            val socket = TcpSocket.connect(address, loop)
            val peer = server.accept()
            val read = launch(loop) { runCatching { socket.input.awaitContent(1_000) } }
            val writer = launch(Dispatchers.IO) {
                runCatching { peer.getOutputStream().write(ByteArray(500)) }
            }
            launch(Dispatchers.IO) { socket.close() }
            withTimeout(5_000) {
                writer.join()
                read.join()
            }
            peer.close()
        }
        assertThat(withTimeout(5_000) { withContext(loop) { 1 } }).isEqualTo(1)
    }

    @Example
    fun writerWaitsForASlowReaderAndLosesNothing() = connected { socket, peer ->
        val bytes = ByteArray(8_000_000) { (it % 251).toByte() }
        val write = launch(loop) {
            val connection = CallerConnection(socket)
            connection.send(200, emptyList(), bytes)
            connection.closeAfterFlush()
        }
        delay(100)
        assertThat(write.isActive).isTrue()
        val received = withContext(Dispatchers.IO) { peer.getInputStream().readAllBytes() }
        assertThat(received.copyOfRange(received.size - bytes.size, received.size)).isEqualTo(bytes)
    }

    @Example
    fun refusedConnectionIsReported() {
        val port = server.localPort
        server.close()
        assertThatThrownBy {
            runBlocking(loop) { TcpSocket.connect(InetSocketAddress("127.0.0.1", port), loop) }
        }.isInstanceOf(java.net.ConnectException::class.java)
    }

    private fun connected(block: suspend CoroutineScope.(TcpSocket, java.net.Socket) -> Unit) =
        runBlocking {
            val address = InetSocketAddress("127.0.0.1", server.localPort)
            TcpSocket.connect(address, loop).use { socket ->
                server.accept().use { peer -> withTimeout(20_000) { block(socket, peer) } }
            }
        }
}
