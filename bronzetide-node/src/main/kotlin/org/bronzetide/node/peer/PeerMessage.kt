package org.bronzetide.node.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborLabel
import org.bronzetide.coordination.ClaimReply
import org.bronzetide.coordination.DocumentDelta
import org.bronzetide.coordination.KeyAuthority
import org.bronzetide.coordination.KeyClaim
import org.bronzetide.coordination.KeyOutcome
import org.bronzetide.coordination.Membership
import org.bronzetide.node.grants.PoolShard
import org.bronzetide.node.grants.WireDecision
import org.bronzetide.node.grants.WireRelease
import org.bronzetide.node.grants.WireTicket

/** What nodes say to each other. Every message is one-way; calls carry a number for their reply. */
@Serializable
internal sealed class PeerMessage {
    /** A membership probe or its acknowledgement, with the sender's document versions. */
    @Serializable
    @SerialName("p")
    data class ProbeMessage(
        @CborLabel(1) val probe: Membership.Probe,
        @CborLabel(2) val versions: List<Long>,
        @CborLabel(3) val isAck: Boolean = false
    ) : PeerMessage()

    /** Asks for what is newer than [heldVersion] of the document with index [documentIndex]. */
    @Serializable
    @SerialName("dp")
    data class DocumentPull(
        @CborLabel(1) val documentIndex: Int,
        @CborLabel(2) val heldVersion: Long
    ) : PeerMessage()

    /** A change of the document with index [documentIndex]. */
    @Serializable
    @SerialName("du")
    data class DocumentUpdate(
        @CborLabel(1) val documentIndex: Int,
        @CborLabel(2) val delta: DocumentDelta
    ) : PeerMessage()

    /** Tickets for the arbiter of [shard]: new, repeated, or already running. */
    @Serializable
    @SerialName("e")
    data class Enroll(
        @CborLabel(1) val shard: PoolShard,
        @CborLabel(2) val tickets: List<WireTicket>
    ) : PeerMessage()

    /** Ends tickets of the sender: withdrawn or released. */
    @Serializable
    @SerialName("r")
    data class Releases(
        @CborLabel(1) val shard: PoolShard,
        @CborLabel(2) val releases: List<WireRelease>
    ) : PeerMessage()

    /** Tickets of the sender whose requests have their first token. */
    @Serializable
    @SerialName("f")
    data class FirstTokens(
        @CborLabel(1) val shard: PoolShard,
        @CborLabel(2) val sequences: List<Long>
    ) : PeerMessage()

    /** The arbiter's decisions on tickets of the receiver. */
    @Serializable
    @SerialName("d")
    data class Decisions(
        @CborLabel(1) val shard: PoolShard,
        @CborLabel(2) val decisions: List<WireDecision>
    ) : PeerMessage()

    /** All tickets that the sender has at the arbiter, to find what messages were lost. */
    @Serializable
    @SerialName("a")
    data class Audit(@CborLabel(1) val shard: PoolShard, @CborLabel(2) val sequences: List<Long>) :
        PeerMessage()

    /** The audited tickets that the arbiter does not know. */
    @Serializable
    @SerialName("m")
    data class UnknownTickets(
        @CborLabel(1) val shard: PoolShard,
        @CborLabel(2) val sequences: List<Long>
    ) : PeerMessage()

    /** Asks the authority of an idempotency key for the right to dispatch. */
    @Serializable
    @SerialName("kc")
    data class ClaimRequest(@CborLabel(1) val callId: Long, @CborLabel(2) val claim: KeyClaim) :
        PeerMessage()

    /** The reply to a [ClaimRequest]. */
    @Serializable
    @SerialName("kr")
    data class ClaimResponse(@CborLabel(1) val callId: Long, @CborLabel(2) val reply: ClaimReply) :
        PeerMessage()

    /** Asks the successor to record a claim, or tells it the outcome. */
    @Serializable
    @SerialName("ks")
    data class ReplicationRequest(
        @CborLabel(1) val callId: Long,
        @CborLabel(2) val record: KeyAuthority.ClaimRecord
    ) : PeerMessage()

    /** Sends the memory of slots to a new successor. */
    @Serializable
    @SerialName("kt")
    data class TransferRequest(
        @CborLabel(1) val callId: Long,
        @CborLabel(2) val transfer: KeyAuthority.Transfer
    ) : PeerMessage()

    /** Says whether a replica or a transfer was accepted. */
    @Serializable
    @SerialName("ka")
    data class ReplicationResponse(
        @CborLabel(1) val callId: Long,
        @CborLabel(2) val isAccepted: Boolean
    ) : PeerMessage()

    /** Tells the authority how a claimed command ended, or with no outcome that it did not run. */
    @Serializable
    @SerialName("kf")
    data class ClaimOutcome(
        @CborLabel(1) val key: String,
        @CborLabel(2) val attempt: String,
        @CborLabel(3) val outcome: KeyOutcome.Finished? = null
    ) : PeerMessage()

    /** Asks for the node's own status. */
    @Serializable
    @SerialName("sc")
    data class StatusRequest(@CborLabel(1) val callId: Long) : PeerMessage()

    /** The node's own status as JSON. */
    @Serializable
    @SerialName("sa")
    data class StatusResponse(@CborLabel(1) val callId: Long, @CborLabel(2) val json: String) :
        PeerMessage()
}

/** Some messages for the peer that the handshake named; a frame without any is a heartbeat. */
@Serializable
internal data class PeerFrame(@CborLabel(1) val messages: List<PeerMessage> = emptyList())

/** The encoding between nodes: CBOR with integer keys, defaults left out. */
internal val peerCbor = Cbor {
    preferCborLabelsOverNames = true
    ignoreUnknownKeys = true
    useDefiniteLengthEncoding = true
}
