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
 * Carries messages between this node and its peers. What arrives is handled on the control thread,
 * messages to this node itself included.
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

    /** What the links carried so far. */
    val counters = PeerLink.Counters()

    /** The port that this node listens on. */
    val port: Int get() = server.port

    /** Finds a node's address; called on any thread. */
    var addressOf: (NodeId) -> PeerAddress? = { null }

    /** Handles one message on the control thread. */
    var onMessage: (NodeId, PeerMessage) -> Unit = { _, _ -> }

    /** Told on the control thread that a node could not be reached. */
    var onUnreachable: (NodeId) -> Unit = {}

    /** Told on the control thread that another process took a node's address. */
    var onReplaced: (NodeId) -> Unit = {}

    fun start() = server.start(scope)

    /** Sends [message] to the node [to]; it may be lost. */
    fun send(to: NodeId, message: PeerMessage) {
        if (to == self) return control.post { onMessage(self, message) }
        val address = addressOf(to) ?: return
        linkTo(address).send(to, message)
    }

    /** Sends [message] to whoever listens at [address]. */
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
