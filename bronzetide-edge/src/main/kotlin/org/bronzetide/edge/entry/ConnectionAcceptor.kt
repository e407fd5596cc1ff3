package org.bronzetide.edge.entry

import java.io.IOException
import java.nio.channels.ClosedChannelException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.http.CallerConnectionException
import org.bronzetide.http.TcpServer
import org.bronzetide.http.TcpSocket
import org.bronzetide.http.TrafficLoop
import org.bronzetide.platform.fleet.SocketAddress

/**
 * Accepts connections at [address] and serves each in a coroutine of its own. No failure of one
 * connection, be it an Error such as exhausted memory, ends another one or the accepting.
 */
internal class ConnectionAcceptor(
    private val loop: TrafficLoop,
    val address: SocketAddress,
    private val log: DecisionLog,
    private val serve: suspend (TcpSocket) -> Unit
) : AutoCloseable {
    private var server: TcpServer? = null

    @Volatile
    private var isOpen = true

    /**
     * Binds [address] and accepts connections in [scope], whose job must be a supervisor. A call
     * that failed may be repeated.
     *
     * @throws IOException if the address cannot be bound, or after [close].
     */
    fun start(scope: CoroutineScope) {
        val bound = synchronized(this) {
            if (!isOpen) throw ClosedChannelException()
            TcpServer(address.host, address.port, loop).also { server = it }
        }
        scope.launch {
            while (isOpen) {
                val socket = try {
                    bound.accept()
                } catch (cause: CancellationException) {
                    throw cause
                } catch (cause: Throwable) {
                    if (!isOpen) break
                    log.failure(
                        "could not accept a connection",
                        cause,
                        "address" to address.toString()
                    )
                    kotlinx.coroutines.delay(ACCEPT_RETRY_DELAY_MS)
                    continue
                }
                scope.launch { serveConnection(socket) }
            }
        }
    }

    @Synchronized
    override fun close() {
        isOpen = false
        server?.close()
    }

    private suspend fun serveConnection(socket: TcpSocket) {
        try {
            serve(socket)
        } catch (cause: CancellationException) {
            throw cause
        } catch (_: CallerConnectionException) {
            // The client's connection broke; the log line of the request states its outcome.
        } catch (cause: Throwable) {
            log.failure("unexpected failure while serving a connection", cause)
        } finally {
            socket.close()
        }
    }

    private companion object {
        const val ACCEPT_RETRY_DELAY_MS = 20L
    }
}
