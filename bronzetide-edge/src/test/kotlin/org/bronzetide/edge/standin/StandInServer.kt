package org.bronzetide.edge.standin

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.port
import java.io.IOException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.IncomingRequest

/** An HTTP server on loopback whose answers [handle] gives; it returns whether to go on. */
open class StandInServer(
    private val handle: suspend (IncomingRequest, ByteArray, CallerConnection) -> Boolean
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = SelectorManager(Dispatchers.IO)
    private val server: ServerSocket = runBlocking {
        aSocket(selector).tcp().bind(InetSocketAddress("127.0.0.1", 0))
    }

    val port: Int = server.port

    init {
        scope.launch {
            while (true) {
                val connection = CallerConnection(server.accept())
                launch { serve(connection) }
            }
        }
    }

    override fun close() {
        scope.cancel()
        server.close()
        selector.close()
    }

    private suspend fun serve(connection: CallerConnection) {
        try {
            while (true) {
                val request = connection.receive() ?: break
                val body = request.body.readAll(8_388_608)
                if (!handle(request, body, connection)) break
            }
        } catch (_: IOException) {
            // The other end is gone.
        } finally {
            connection.close()
        }
    }
}
