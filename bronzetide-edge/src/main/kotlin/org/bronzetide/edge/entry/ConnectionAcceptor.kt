package org.bronzetide.edge.entry

import java.io.IOException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.http.TcpServer
import org.bronzetide.http.TcpSocket
import org.bronzetide.http.TrafficLoop
import org.bronzetide.platform.fleet.SocketAddress

/** Accepts connections at [address] and serves each in a coroutine of its own. */
internal class ConnectionAcceptor(
    private val loop: TrafficLoop,
    private val address: SocketAddress,
    private val log: DecisionLog,
    private val serve: suspend (TcpSocket) -> Unit
) : AutoCloseable {
    private var server: TcpServer? = null

    @Volatile
    private var isOpen = true

    fun start(scope: CoroutineScope) {
        val bound = TcpServer(address.host, address.port, loop)
        server = bound
        scope.launch {
            while (isOpen) {
                val socket = try {
                    bound.accept()
                } catch (cause: IOException) {
                    if (!isOpen) break
                    log.failure("accept failed", cause, "address" to address.toString())
                    kotlinx.coroutines.delay(ACCEPT_PAUSE_MS)
                    continue
                }
                launch { serveQuietly(socket) }
            }
        }
    }

    override fun close() {
        isOpen = false
        server?.close()
    }

    private suspend fun serveQuietly(socket: TcpSocket) {
        try {
            serve(socket)
        } catch (cause: CancellationException) {
            throw cause
        } catch (_: IOException) {
            // The caller's connection broke; the request's own line says what became of it.
        } catch (cause: RuntimeException) {
            log.failure("connection failed", cause)
        } finally {
            socket.close()
        }
    }

    private companion object {
        const val ACCEPT_PAUSE_MS = 20L
    }
}
