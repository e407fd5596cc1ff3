package org.bronzetide.node.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.NodeId
import org.bronzetide.node.withIoTimeout

/**
 * Sends messages to one address over a connection that is opened on demand, replaced when the peer
 * becomes unresponsive, and closed when idle.
 *
 * Delivery is not guaranteed: messages on a broken connection are lost, and messages that exceed
 * the buffer are dropped. The protocols above this class recover from both.
 */
internal class PeerLink(
    private val address: PeerAddress,
    private val selector: SelectorManager,
    private val handshake: PeerHandshake,
    private val events: Events,
    private val counters: Counters
) {
    private val outbox = Channel<Outgoing>(OUTBOX_CAPACITY)

    /** Queues [message] for the node [to], or for any node at the address if [to] is `null`. */
    fun send(to: NodeId?, message: PeerMessage) {
        if (outbox.trySend(Outgoing(to, message)).isFailure) counters.dropped.incrementAndGet()
    }

    /** Connects whenever messages are queued and sends them, until cancelled. */
    suspend fun run() {
        while (true) {
            val first = outbox.receive()
            try {
                connect(first)
            } catch (cause: CancellationException) {
                throw cause
            } catch (cause: Exception) {
                first.to?.let { events.onUnreachable(it) }
                discardQueued(first.to)
            }
        }
    }

    private suspend fun connect(first: Outgoing) {
        val socket = withIoTimeout(CONNECT_TIMEOUT_MS, "connecting to $address") {
            aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true }
        }
        socket.use { serve(it, first) }
    }

    private suspend fun serve(socket: Socket, first: Outgoing) = coroutineScope {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel()
        val peer =
            withIoTimeout(HANDSHAKE_TIMEOUT_MS, "handshake") { performHandshake(input, output) }
        if (first.to != null && first.to != peer) events.onReplaced(first.to)
        val reader = launch { readHeartbeats(input) }
        try {
            write(output, peer, first)
        } finally {
            reader.cancel()
        }
    }

    private suspend fun performHandshake(input: ByteReadChannel, output: ByteWriteChannel): NodeId {
        val hello = handshake.hello()
        output.writeFrame(PeerHandshake.Hello.serializer(), hello)
        val challenge = input.readFrame(
            PeerHandshake.Challenge.serializer(),
            MAX_HANDSHAKE_FRAME_BYTES
        )
        val proof = handshake.prove(hello, challenge)
            ?: throw PeerProtocolException("$address does not hold the cluster key")
        output.writeFrame(PeerHandshake.Proof.serializer(), proof)
        return challenge.node
    }

    private suspend fun write(output: ByteWriteChannel, peer: NodeId, first: Outgoing) {
        var next: Outgoing? = first
        var idlePeriods = 0
        while (idlePeriods < MAX_IDLE_PERIODS) {
            val batch = if (next == null) emptyList() else collect(next)
            idlePeriods = if (batch.isEmpty()) idlePeriods + 1 else 0
            val messages = batch.filter { it.to == null || it.to == peer }.map { it.message }
            val frame = PeerFrame(messages)
            val bytes = withIoTimeout(INACTIVITY_TIMEOUT_MS, "sending") {
                output.writeFrame(PeerFrame.serializer(), frame)
            }
            counters.sentBytes.addAndGet(bytes.toLong())
            counters.sentMessages.addAndGet(messages.size.toLong())
            next = withTimeoutOrNull(HEARTBEAT_MS) { outbox.receive() }
        }
    }

    private fun collect(first: Outgoing): List<Outgoing> {
        val batch = arrayListOf(first)
        while (batch.size < MAX_BATCH_MESSAGES) batch += outbox.tryReceive().getOrNull() ?: break
        return batch
    }

    private suspend fun readHeartbeats(input: ByteReadChannel) {
        while (true) {
            withIoTimeout(INACTIVITY_TIMEOUT_MS, "heartbeat of $address") {
                input.readFrame(PeerFrame.serializer())
            }
        }
    }

    private fun discardQueued(to: NodeId?) {
        while (true) {
            val lost = outbox.tryReceive().getOrNull() ?: return
            counters.dropped.incrementAndGet()
            if (lost.to != null && lost.to != to) events.onUnreachable(lost.to)
        }
    }

    private class Outgoing(val to: NodeId?, val message: PeerMessage)

    /** Receives the failures and replacements of peers that a link detects. */
    interface Events {
        /** [node] could not be reached, or the connection to it broke. */
        fun onUnreachable(node: NodeId)

        /** Another process responded at the address of [node]. */
        fun onReplaced(node: NodeId)
    }

    /** Counts messages and bytes of all links of a node. */
    class Counters {
        val sentBytes = AtomicLong()
        val sentMessages = AtomicLong()
        val dropped = AtomicLong()
    }

    companion object {
        const val HEARTBEAT_MS = 1_000L
        const val INACTIVITY_TIMEOUT_MS = 2_500L
        const val MAX_HANDSHAKE_FRAME_BYTES = 4_096
        const val HANDSHAKE_TIMEOUT_MS = 2_000L
        private const val CONNECT_TIMEOUT_MS = 1_000L
        private const val OUTBOX_CAPACITY = 8_192
        private const val MAX_BATCH_MESSAGES = 64
        private const val MAX_IDLE_PERIODS = 5
    }
}
