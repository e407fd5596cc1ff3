package org.bronzetide.edge.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.Datagram
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import java.io.IOException
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.io.Buffer
import kotlinx.io.readByteArray
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.platform.fleet.SocketAddress

/** Sends and receives peer messages as datagrams, which have no connection that could go silent. */
internal class PeerSocket(
    private val selector: SelectorManager,
    private val address: SocketAddress,
    private val log: DecisionLog,
    private val onMessage: (PeerMessage, String) -> Unit
) : AutoCloseable {
    private var socket: BoundDatagramSocket? = null
    private val outgoing = Channel<Pair<SocketAddress, PeerMessage>>(OUTGOING_LIMIT)
    private val sent = AtomicLong()

    /** The bytes sent so far. */
    val sentBytes: Long get() = sent.get()

    suspend fun start(scope: CoroutineScope) {
        val bound = aSocket(selector).udp().bind(InetSocketAddress(address.host, address.port))
        socket = bound
        scope.launch { for (datagram in bound.incoming) receive(datagram) }
        scope.launch { for ((to, message) in outgoing) transmit(bound, to, message) }
    }

    /** Sends [message] to [to], or drops it if too many wait. */
    fun send(to: SocketAddress, message: PeerMessage) {
        outgoing.trySend(to to message)
    }

    override fun close() {
        socket?.close()
    }

    private suspend fun transmit(
        bound: BoundDatagramSocket,
        to: SocketAddress,
        message: PeerMessage
    ) {
        val bytes = PeerMessage.codec.encodeToByteArray(message)
        try {
            bound.send(Datagram(Buffer().apply { write(bytes) }, InetSocketAddress(to.host, to.port)))
            sent.addAndGet(bytes.size.toLong())
        } catch (cause: IOException) {
            log.failure("datagram not sent", cause, "to" to to.toString())
        }
    }

    private fun receive(datagram: Datagram) {
        val sender = (datagram.address as? InetSocketAddress)?.hostname.orEmpty()
        try {
            val bytes = datagram.packet.readByteArray()
            onMessage(PeerMessage.codec.decodeFromByteArray(bytes), sender)
        } catch (cause: SerializationException) {
            log.failure("datagram malformed", cause, "from" to sender)
        }
    }

    private companion object {
        /** Over one round of summaries to the largest fleet that one hub serves. */
        const val OUTGOING_LIMIT = 4_096
    }
}
