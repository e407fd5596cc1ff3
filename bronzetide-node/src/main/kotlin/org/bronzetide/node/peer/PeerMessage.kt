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

/**
 * A message from one node to another.
 *
 * Messages are one-way. A request carries a call id, by which the sender matches the response.
 */
@Serializable
internal sealed class PeerMessage {
    /** A membership probe or its acknowledgement, with the versions of the sender's documents. */
    @Serializable
    @SerialName("p")
    data class ProbeMessage(
        @CborLabel(1) val probe: Membership.Probe,
        @CborLabel(2) val versions: List<Long>,
        @CborLabel(3) val isAck: Boolean = false
    ) : PeerMessage()

    /** Requests the changes after [heldVersion] to the document with index [documentIndex]. */
    @Serializable
    @SerialName("dp")
    data class DocumentPull(
        @CborLabel(1) val documentIndex: Int,
        @CborLabel(2) val heldVersion: Long
    ) : PeerMessage()

    /** Changes to the document with index [documentIndex]. */
    @Serializable
    @SerialName("du")
    data class DocumentUpdate(
        @CborLabel(1) val documentIndex: Int,
        @CborLabel(2) val delta: DocumentDelta
    ) : PeerMessage()

    /** Tickets for the arbiter of [shard]: new ones, resent ones, or those that already run. */
    @Serializable
    @SerialName("e")
    data class Enroll(
        @CborLabel(1) val shard: PoolShard,
        @CborLabel(2) val tickets: List<WireTicket>
    ) : PeerMessage()

    /** Tickets of the sender that ended: withdrawn while queued, or released after a grant. */
    @Serializable
    @SerialName("r")
    data class Releases(
        @CborLabel(1) val shard: PoolShard,
        @CborLabel(2) val releases: List<WireRelease>
    ) : PeerMessage()

    /** Tickets of the sender whose requests have received their first token. */
    @Serializable
    @SerialName("f")
    data class FirstTokens(
        @CborLabel(1) val shard: PoolShard,
        @CborLabel(2) val sequences: List<Long>
    ) : PeerMessage()

    /** The arbiter's decisions on tickets of the receiving node. */
    @Serializable
    @SerialName("d")
    data class Decisions(
        @CborLabel(1) val shard: PoolShard,
        @CborLabel(2) val decisions: List<WireDecision>
    ) : PeerMessage()

    /** All tickets that the sender has at the arbiter, to detect lost messages. */
    @Serializable
    @SerialName("a")
    data class Audit(@CborLabel(1) val shard: PoolShard, @CborLabel(2) val sequences: List<Long>) :
        PeerMessage()

    /** The tickets of an [Audit] that the arbiter does not know. */
    @Serializable
    @SerialName("m")
    data class UnknownTickets(
        @CborLabel(1) val shard: PoolShard,
        @CborLabel(2) val sequences: List<Long>
    ) : PeerMessage()

    /** Asks the owner of an idempotency key's slot for the right to dispatch the command. */
    @Serializable
    @SerialName("kc")
    data class ClaimRequest(@CborLabel(1) val callId: Long, @CborLabel(2) val claim: KeyClaim) :
        PeerMessage()

    /** The response to a [ClaimRequest]. */
    @Serializable
    @SerialName("kr")
    data class ClaimResponse(@CborLabel(1) val callId: Long, @CborLabel(2) val reply: ClaimReply) :
        PeerMessage()

    /** Asks the successor of a slot to store a claim, or its outcome. */
    @Serializable
    @SerialName("ks")
    data class ReplicationRequest(
        @CborLabel(1) val callId: Long,
        @CborLabel(2) val record: KeyAuthority.ClaimRecord
    ) : PeerMessage()

    /** Sends the records of slots to a new successor. */
    @Serializable
    @SerialName("kt")
    data class TransferRequest(
        @CborLabel(1) val callId: Long,
        @CborLabel(2) val transfer: KeyAuthority.Transfer
    ) : PeerMessage()

    /** Whether a [ReplicationRequest] or [TransferRequest] was accepted. */
    @Serializable
    @SerialName("ka")
    data class ReplicationResponse(
        @CborLabel(1) val callId: Long,
        @CborLabel(2) val isAccepted: Boolean
    ) : PeerMessage()

    /** Reports to the slot's owner how a claimed command ended; `null` if it did not run. */
    @Serializable
    @SerialName("kf")
    data class ClaimOutcome(
        @CborLabel(1) val key: String,
        @CborLabel(2) val attempt: String,
        @CborLabel(3) val outcome: KeyOutcome.Finished? = null
    ) : PeerMessage()

    /** Requests the status of the receiving node. */
    @Serializable
    @SerialName("sc")
    data class StatusRequest(@CborLabel(1) val callId: Long) : PeerMessage()

    /** The status of the sending node, as JSON. */
    @Serializable
    @SerialName("sa")
    data class StatusResponse(@CborLabel(1) val callId: Long, @CborLabel(2) val json: String) :
        PeerMessage()
}

/** Messages to the peer of the connection; a frame without messages is a heartbeat. */
@Serializable
internal data class PeerFrame(@CborLabel(1) val messages: List<PeerMessage> = emptyList())

/** The encoding of messages between nodes: CBOR with integer keys, default values left out. */
internal val peerCbor = Cbor {
    preferCborLabelsOverNames = true
    ignoreUnknownKeys = true
    useDefiniteLengthEncoding = true
}
