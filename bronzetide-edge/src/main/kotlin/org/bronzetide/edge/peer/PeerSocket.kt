package org.bronzetide.edge.peer

import java.io.IOException
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.nio.channels.ClosedChannelException
import java.nio.channels.DatagramChannel
import java.nio.channels.UnresolvedAddressException
import kotlin.concurrent.thread
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
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
        channel.bind(InetSocketAddress(address.host, address.port))
        isBound = true
        thread(name = "peers", isDaemon = true) { receiveAll() }
    }

    /** Sends [message] to [to]; it may be lost, and is before [start]. */
    fun send(to: SocketAddress, message: PeerMessage) {
        // Sending would bind the channel to any free port.
        if (!isBound) return
        val bytes = PeerMessage.codec.encodeToByteArray(message)
        try {
            channel.send(ByteBuffer.wrap(bytes), InetSocketAddress(to.host, to.port))
        } catch (cause: IOException) {
            log.failure("sending a datagram failed", cause, "to" to to.toString())
        } catch (cause: UnresolvedAddressException) {
            // The address is that of a member, as another host has stated it.
            log.failure("sending a datagram failed", cause, "to" to to.toString())
        }
    }

    override fun close() = channel.close()

    private fun receiveAll() {
        val buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES)
        while (true) {
            buffer.clear()
            try {
                val sender = channel.receive(buffer) as? InetSocketAddress ?: continue
                buffer.flip()
                decode(ByteArray(buffer.remaining()).also(buffer::get), sender.hostString)
            } catch (_: ClosedChannelException) {
                return
            } catch (cause: Throwable) {
                // Nothing would start this thread again.
                log.failure("receiving a datagram failed", cause)
            }
        }
    }

    private fun decode(bytes: ByteArray, sender: String) {
        try {
            onMessage(PeerMessage.codec.decodeFromByteArray(bytes), sender)
        } catch (cause: SerializationException) {
            log.failure("malformed datagram received", cause, "from" to sender)
        }
    }

    private companion object {
        const val MAX_DATAGRAM_BYTES = 65_507
    }
}
