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
 * Stands between two parties as something that may lose track of their connections: after [stallOpenConnections]
 * every open one swallows what it gets, without closing, while new ones work.
 */
class StallingTcpProxy(port: Int = 0) : AutoCloseable {
    /** The port that connections are relayed to. */
    @Volatile
    var targetPort: Int = 0

    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val server: ServerSocket =
        runBlocking { aSocket(selector).tcp().bind(StandInServer.HOST, port) }
    private val generation = AtomicInteger()

    /** The port to connect to in place of the target's. */
    val port: Int = (server.localAddress as InetSocketAddress).port

    init {
        scope.launch { while (true) accept(server.accept()) }
    }

    /** Makes all connections that are open now go silent for good. */
    fun stallOpenConnections() {
        generation.incrementAndGet()
    }

    override fun close() {
        scope.cancel()
        server.close()
        selector.close()
    }

    private fun accept(client: Socket) = scope.launch {
        val born = generation.get()
        runCatching {
            aSocket(selector).tcp().connect(StandInServer.HOST, targetPort).use { target ->
                client.use { relay(client, target, born) }
            }
        }
    }

    private suspend fun relay(client: Socket, target: Socket, born: Int) = coroutineScope {
        val up = launch { pump(client.openReadChannel(), target.openWriteChannel(), born) }
        val down = launch { pump(target.openReadChannel(), client.openWriteChannel(), born) }
        down.invokeOnCompletion { up.cancel() }
    }

    private suspend fun pump(from: ByteReadChannel, to: ByteWriteChannel, born: Int) {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = from.readAvailable(buffer)
            if (generation.get() != born) awaitCancellation()
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
