package org.bronzetide.edge.soak

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** How a [FaultProxy] treats the bytes that it receives. */
enum class LinkFault {
    /** Bytes are forwarded. */
    NONE,

    /** Bytes are forwarded after [FaultProxy.DELAY_MS]. */
    DELAYED,

    /** Bytes are dropped in both directions while the connections stay open. */
    BLACKHOLE,

    /** Bytes from the server are dropped. */
    DROP_RESPONSES
}

/** A TCP proxy to [targetPort] on loopback that injects the current [fault]. */
class FaultProxy(private val targetPort: Int) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()

    /** The fault in effect, for open connections too. */
    @Volatile
    var fault = LinkFault.NONE

    /** The loopback port that the proxy listens on. */
    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true, name = "proxy") {
            while (!server.isClosed) {
                val client = try {
                    server.accept()
                } catch (_: IOException) {
                    break
                }
                connect(client)
            }
        }
    }

    /** Resets all open connections. */
    fun resetAll() = sockets.toList().forEach {
        try {
            it.setSoLinger(true, 0)
        } catch (_: SocketException) {
            // The socket was closed concurrently.
        }
        it.close()
    }

    override fun close() {
        server.close()
        resetAll()
    }

    private fun connect(client: Socket) {
        val upstream = try {
            Socket("127.0.0.1", targetPort)
        } catch (_: IOException) {
            client.close()
            return
        }
        sockets += listOf(client, upstream)
        forward(client, upstream, isResponse = false)
        forward(upstream, client, isResponse = true)
    }

    private fun forward(from: Socket, to: Socket, isResponse: Boolean) = thread(isDaemon = true) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                if (fault == LinkFault.DELAYED) Thread.sleep(DELAY_MS)
                val isDropped = fault == LinkFault.BLACKHOLE ||
                    (isResponse && fault == LinkFault.DROP_RESPONSES)
                if (!isDropped) to.getOutputStream().write(buffer, 0, count)
            }
            if (fault == LinkFault.NONE) to.shutdownOutput()
        } catch (_: IOException) {
            // One end closed or reset the connection, so the other is closed too.
            from.close()
            to.close()
        } finally {
            sockets.removeIf { it.isClosed }
        }
    }

    companion object {
        /** The delay of each chunk under [LinkFault.DELAYED], in ms. */
        const val DELAY_MS = 80L
        private const val BACKLOG = 256
        private const val BUFFER_BYTES = 16_384
    }
}
