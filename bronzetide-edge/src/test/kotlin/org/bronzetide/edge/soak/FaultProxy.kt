package org.bronzetide.edge.soak

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** What a proxy does to the bytes that pass. */
enum class LinkFault {
    /** Bytes pass. */
    NONE,

    /** Bytes pass after [FaultProxy.DELAY_MS]. */
    DELAYED,

    /** Nothing passes in either direction, and nobody is told. */
    BLACKHOLE,

    /** What the server sends does not pass. */
    DROP_RESPONSES
}

/** Passes TCP connections on to [targetPort] on loopback, and misbehaves on demand. */
class FaultProxy(private val targetPort: Int) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()

    @Volatile
    var fault = LinkFault.NONE

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

    /** Resets every connection that is open. */
    fun resetAll() = sockets.toList().forEach {
        try {
            it.setSoLinger(true, 0)
        } catch (_: SocketException) {
            // It closed meanwhile.
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
            // One end closed or reset the connection; so does the other.
            from.close()
            to.close()
        } finally {
            sockets.removeIf { it.isClosed }
        }
    }

    companion object {
        const val DELAY_MS = 80L
        private const val BACKLOG = 256
        private const val BUFFER_BYTES = 16_384
    }
}
