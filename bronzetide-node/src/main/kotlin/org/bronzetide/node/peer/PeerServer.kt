package org.bronzetide.node.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.NodeId
import org.bronzetide.node.withIoTimeout
import org.slf4j.LoggerFactory

/** Accepts connections from peers, authenticates them and passes their messages on. */
internal class PeerServer(
    host: String,
    port: Int,
    private val selector: SelectorManager,
    private val handshake: PeerHandshake,
    private val onMessages: (NodeId, List<PeerMessage>) -> Unit
) : AutoCloseable {
    private val log = LoggerFactory.getLogger(PeerServer::class.java)
    private val connections = AtomicInteger()
    private val server: ServerSocket = runBlocking { aSocket(selector).tcp().bind(host, port) }

    /** The port that the server listens on. */
    val port: Int = (server.localAddress as InetSocketAddress).port

    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                val socket = server.accept()
                if (connections.incrementAndGet() > MAX_CONNECTIONS) {
                    connections.decrementAndGet()
                    socket.close()
                } else {
                    scope.launch { handle(socket) }
                }
            }
        }
    }

    override fun close() = server.close()

    private suspend fun handle(socket: Socket) {
        try {
            socket.use { serve(it) }
        } catch (cause: CancellationException) {
            throw cause
        } catch (cause: Exception) {
            log.debug("peer connection closed: {}", cause.message)
        } finally {
            connections.decrementAndGet()
        }
    }

    private suspend fun serve(socket: Socket) {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel()
        val peer = withIoTimeout(PeerLink.HANDSHAKE_TIMEOUT_MS, "handshake") {
            val hello = input.readFrame(
                PeerHandshake.Hello.serializer(),
                PeerLink.MAX_HANDSHAKE_FRAME_BYTES
            )
            val challenge = handshake.challenge(hello)
            output.writeFrame(PeerHandshake.Challenge.serializer(), challenge)
            val proof = input.readFrame(
                PeerHandshake.Proof.serializer(),
                PeerLink.MAX_HANDSHAKE_FRAME_BYTES
            )
            if (!handshake.verify(hello, challenge, proof)) {
                throw PeerProtocolException("${hello.node} does not hold the cluster key")
            }
            hello.node
        }
        receive(peer, input, output)
    }

    private suspend fun receive(peer: NodeId, input: ByteReadChannel, output: ByteWriteChannel) {
        var repliedAtMs = MonotonicClock.System.nowMs()
        while (true) {
            val frame = withIoTimeout(INACTIVITY_TIMEOUT_MS, "heartbeat of $peer") {
                input.readFrame(PeerFrame.serializer())
            }
            if (frame.messages.isNotEmpty()) onMessages(peer, frame.messages)
            val nowMs = MonotonicClock.System.nowMs()
            if (frame.messages.isEmpty() || nowMs - repliedAtMs >= PeerLink.HEARTBEAT_MS) {
                output.writeFrame(PeerFrame.serializer(), PeerFrame())
                repliedAtMs = nowMs
            }
        }
    }

    private companion object {
        const val MAX_CONNECTIONS = 4_096
        const val INACTIVITY_TIMEOUT_MS = 4_000L
    }
}
