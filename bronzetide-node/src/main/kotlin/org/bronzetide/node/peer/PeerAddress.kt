package org.bronzetide.node.peer

/** The address at which a node accepts connections from peers. */
internal data class PeerAddress(val host: String, val port: Int)
