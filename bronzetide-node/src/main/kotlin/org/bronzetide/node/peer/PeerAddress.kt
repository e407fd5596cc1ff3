package org.bronzetide.node.peer

/** Where a node listens for its peers. */
internal data class PeerAddress(val host: String, val port: Int)
