package org.bronzetide.node.peer

import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel
import org.bronzetide.coordination.NodeId

/**
 * Mutual authentication of two nodes by a challenge and response with the cluster's shared key.
 *
 * The dialer sends [Hello]; the listener responds with [Challenge], with its proof over both
 * nonces; the dialer sends [Proof]. Neither proof can be replayed, because each covers a fresh
 * nonce of the other side.
 */
internal class PeerHandshake(private val clusterKey: String, private val self: NodeId) {
    private val random = SecureRandom()

    /** Starts a handshake on the dialer's side. */
    fun hello(): Hello = Hello(PROTOCOL_VERSION, self, nonce())

    /** Returns the listener's challenge and proof for [hello]. */
    fun challenge(hello: Hello): Challenge {
        val nonce = nonce()
        return Challenge(self, nonce, proof(LISTENER, hello.node, self, hello.nonce, nonce))
    }

    /** Returns the dialer's proof, or `null` if the listener's proof is wrong. */
    fun prove(hello: Hello, challenge: Challenge): Proof? {
        val expected = proof(LISTENER, self, challenge.node, hello.nonce, challenge.nonce)
        if (!MessageDigest.isEqual(expected, challenge.proof)) return null
        return Proof(proof(DIALER, self, challenge.node, hello.nonce, challenge.nonce))
    }

    /** Whether [proof] shows that the dialer holds the cluster's key. */
    fun verify(hello: Hello, challenge: Challenge, proof: Proof): Boolean {
        val expected = proof(DIALER, hello.node, self, hello.nonce, challenge.nonce)
        return MessageDigest.isEqual(expected, proof.proof)
    }

    private fun nonce() = ByteArray(NONCE_BYTES).also { random.nextBytes(it) }

    private fun proof(
        role: String,
        dialer: NodeId,
        listener: NodeId,
        dialerNonce: ByteArray,
        listenerNonce: ByteArray
    ): ByteArray {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(SecretKeySpec(clusterKey.toByteArray(), ALGORITHM))
        listOf(role, dialer.value, listener.value).forEach { part ->
            mac.update(part.toByteArray())
            mac.update(SEPARATOR)
        }
        mac.update(dialerNonce)
        return mac.doFinal(listenerNonce)
    }

    /** The first message, from the dialer. */
    @Serializable
    class Hello(
        @CborLabel(1) val version: Int,
        @CborLabel(2) val node: NodeId,
        @CborLabel(3) @ByteString val nonce: ByteArray
    )

    /** The second message, from the listener. */
    @Serializable
    class Challenge(
        @CborLabel(1) val node: NodeId,
        @CborLabel(2) @ByteString val nonce: ByteArray,
        @CborLabel(3) @ByteString val proof: ByteArray
    )

    /** The third message, from the dialer. */
    @Serializable
    class Proof(@CborLabel(1) @ByteString val proof: ByteArray)

    companion object {
        const val PROTOCOL_VERSION = 1
        private const val NONCE_BYTES = 16
        private const val ALGORITHM = "HmacSHA256"
        private const val SEPARATOR: Byte = 0
        private const val LISTENER = "listener"
        private const val DIALER = "dialer"
    }
}
