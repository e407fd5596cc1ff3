package org.bronzetide.node.peer

import net.jqwik.api.Example
import org.bronzetide.coordination.NodeId

class PeerHandshakeTest {
    private val dialer = PeerHandshake("the cluster's key", NodeId("a"))
    private val listener = PeerHandshake("the cluster's key", NodeId("b"))
    private val nodeWithOtherKey = PeerHandshake("another key", NodeId("a"))

    @Example
    fun `two nodes with the same key accept each other`() {
        val hello = dialer.hello()
        val challenge = listener.challenge(hello)
        check(listener.verify(hello, challenge, dialer.prove(hello, challenge)!!))
    }

    @Example
    fun `a dialer rejects a listener without the key`() {
        val hello = nodeWithOtherKey.hello()
        check(nodeWithOtherKey.prove(hello, listener.challenge(hello)) == null)
    }

    @Example
    fun `a listener rejects the proof of an earlier handshake`() {
        val hello = dialer.hello()
        val proof = dialer.prove(hello, listener.challenge(hello))!!
        check(!listener.verify(hello, listener.challenge(hello), proof))
    }
}
