package org.bronzetide.standins

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking

/**
 * A TCP proxy that simulates a network device that loses its connection state. After
 * [stallOpenConnections] the connections that are open forward nothing more and are not closed,
 * while new connections work.
 *
 * @param port the port to listen on; 0 picks a free one
 */
class StallingTcpProxy(port: Int = 0) : AutoCloseable {
    /** The loopback port that connections are forwarded to. */
    @Volatile
    var targetPort: Int = 0

    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val server: ServerSocket =
        runBlocking { aSocket(selector).tcp().bind(StandInServer.HOST, port) }

    /** The number of stalls so far; a connection forwards until it increases. */
    private val generation = AtomicInteger()

    /** The port that clients connect to instead of [targetPort]. */
    val port: Int = (server.localAddress as InetSocketAddress).port

    init {
        scope.launch { while (true) accept(server.accept()) }
    }

    /** Permanently stops forwarding on all connections that are open now. */
    fun stallOpenConnections() {
        generation.incrementAndGet()
    }

    override fun close() {
        scope.cancel()
        server.close()
        selector.close()
    }

    private fun accept(client: Socket) = scope.launch {
        val openedIn = generation.get()
        runCatching {
            aSocket(selector).tcp().connect(StandInServer.HOST, targetPort).use { target ->
                client.use { forward(client, target, openedIn) }
            }
        }
    }

    private suspend fun forward(client: Socket, target: Socket, openedIn: Int) = coroutineScope {
        val up = launch { copy(client.openReadChannel(), target.openWriteChannel(), openedIn) }
        val down = launch { copy(target.openReadChannel(), client.openWriteChannel(), openedIn) }
        down.invokeOnCompletion { up.cancel() }
    }

    private suspend fun copy(from: ByteReadChannel, to: ByteWriteChannel, openedIn: Int) {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = from.readAvailable(buffer)
            if (generation.get() != openedIn) awaitCancellation()
            if (count < 0) break
            to.writeFully(buffer, 0, count)
            to.flush()
        }
        to.flushAndClose()
    }

    private companion object {
        const val BUFFER_BYTES = 16_384
    }
}
