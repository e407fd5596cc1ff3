package org.bronzetide.edge.peer

import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.ClosedChannelException
import java.nio.channels.DatagramChannel
import java.nio.channels.UnresolvedAddressException
import kotlin.concurrent.thread
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.platform.fleet.SocketAddress

/**
 * Sends and receives peer messages as datagrams, which need no connection that could stall.
 *
 * A separate thread waits for datagrams: on the platform's hosts, Ktor's selector notices them only
 * when a TCP event wakes it.
 */
internal class PeerSocket(
    val address: SocketAddress,
    private val log: DecisionLog,
    private val codec: PeerMessageCodec,
    private val onMessage: (PeerMessage, String) -> Unit
) : AutoCloseable {
    private val channel = DatagramChannel.open()

    @Volatile
    private var isBound = false

    /**
     * Binds [address] and starts receiving. A call that failed may be repeated.
     *
     * @throws IOException if the address cannot be bound, or after [close].
     */
    fun start() {
        // The parts of a message arrive at once.
        channel.setOption(StandardSocketOptions.SO_RCVBUF, 2 * PeerMessageCodec.MAX_MESSAGE_BYTES)
        channel.bind(InetSocketAddress(address.host, address.port))
        isBound = true
        thread(name = "peers", isDaemon = true) { receiveAll() }
    }

    /** Sends [message] to [to]; it may be lost, and is before [start]. */
    fun send(to: SocketAddress, message: PeerMessage) {
        // Sending would bind the channel to any free port.
        if (!isBound) return
        for (datagram in codec.encode(message, to.host)) {
            if (!trySend(to, datagram, message.kind)) return
        }
    }

    private fun trySend(to: SocketAddress, datagram: ByteArray, kind: String): Boolean {
        try {
            channel.send(ByteBuffer.wrap(datagram), InetSocketAddress(to.host, to.port))
            return true
        } catch (cause: IOException) {
            logNotSent(to, datagram, kind, cause)
        } catch (cause: UnresolvedAddressException) {
            // The address is that of a member, as another host has stated it.
            logNotSent(to, datagram, kind, cause)
        }
        return false
    }

    private fun logNotSent(to: SocketAddress, datagram: ByteArray, kind: String, cause: Exception) =
        log.rareFailure(
            "sending a datagram failed",
            kind,
            cause,
            "bytes" to datagram.size,
            "to" to to.toString()
        )

    override fun close() = channel.close()

    private fun receiveAll() {
        val buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES)
        while (true) {
            buffer.clear()
            try {
                val sender = channel.receive(buffer) as? InetSocketAddress ?: continue
                buffer.flip()
                val datagram = ByteArray(buffer.remaining()).also(buffer::get)
                codec.decode(datagram, sender.hostString)?.let { onMessage(it, sender.hostString) }
            } catch (_: ClosedChannelException) {
                return
            } catch (cause: Throwable) {
                // Nothing would start this thread again.
                log.rareFailure("receiving a datagram failed", cause.javaClass.simpleName, cause)
            }
        }
    }

    private companion object {
        /** Hosts of an earlier version send longer ones than this one does. */
        const val MAX_DATAGRAM_BYTES = 65_507
    }
}
