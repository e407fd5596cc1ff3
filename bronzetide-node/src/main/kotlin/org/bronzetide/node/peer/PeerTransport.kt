package org.bronzetide.node.peer

import io.ktor.network.selector.SelectorManager
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.NodeId

/**
 * Sends messages to peers and receives theirs.
 *
 * Received messages are handled on the control thread. Messages that the node sends to itself are
 * handled there too, but bypass the network.
 */
internal class PeerTransport(
    host: String,
    port: Int,
    clusterKey: String,
    private val self: NodeId,
    private val control: ControlLoop
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = SelectorManager(Dispatchers.IO)
    private val handshake = PeerHandshake(clusterKey, self)
    private val links = ConcurrentHashMap<PeerAddress, PeerLink>()
    private val server = PeerServer(host, port, selector, handshake, ::receive)

    /** Counts of messages and bytes since the start. */
    val counters = PeerLink.Counters()

    /** The port that this node listens on. */
    val port: Int get() = server.port

    /** Looks up a node's address; called on any thread. */
    var addressOf: (NodeId) -> PeerAddress? = { null }

    /** Handles one message on the control thread. */
    var onMessage: (NodeId, PeerMessage) -> Unit = { _, _ -> }

    /** Called on the control thread when a node could not be reached. */
    var onUnreachable: (NodeId) -> Unit = {}

    /** Called on the control thread when another process responded at a node's address. */
    var onReplaced: (NodeId) -> Unit = {}

    fun start() = server.start(scope)

    /** Sends [message] to the node [to]. It may be lost; without a known address it is dropped. */
    fun send(to: NodeId, message: PeerMessage) {
        if (to == self) return control.post { onMessage(self, message) }
        val address = addressOf(to) ?: return
        linkTo(address).send(to, message)
    }

    /** Sends [message] to any node that listens at [address]. It may be lost. */
    fun send(address: PeerAddress, message: PeerMessage) = linkTo(address).send(null, message)

    override fun close() {
        scope.cancel()
        server.close()
        selector.close()
    }

    private fun linkTo(address: PeerAddress): PeerLink = links.computeIfAbsent(address) {
        PeerLink(address, selector, handshake, LinkEvents(), counters).also { link ->
            scope.launch { link.run() }
        }
    }

    private fun receive(from: NodeId, messages: List<PeerMessage>) =
        control.post { messages.forEach { onMessage(from, it) } }

    private inner class LinkEvents : PeerLink.Events {
        override fun onUnreachable(node: NodeId) =
            control.post { this@PeerTransport.onUnreachable(node) }

        override fun onReplaced(node: NodeId) = control.post { this@PeerTransport.onReplaced(node) }
    }
}
