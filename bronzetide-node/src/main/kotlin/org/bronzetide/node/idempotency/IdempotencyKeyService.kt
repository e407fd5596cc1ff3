package org.bronzetide.node.idempotency

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.ClaimReply
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.KeyAuthority
import org.bronzetide.coordination.KeyClaim
import org.bronzetide.coordination.KeyOutcome
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.NodeId
import org.bronzetide.coordination.OwnershipMap
import org.bronzetide.node.peer.PeerMessage

/**
 * Claims idempotency keys for the requests that entered at this node, and handles claims for the
 * slots that this node owns. All state is confined to the control thread.
 */
internal class IdempotencyKeyService(
    self: NodeId,
    private val control: ControlLoop,
    clock: MonotonicClock,
    private val send: (NodeId, PeerMessage) -> Unit
) {
    private val authority = KeyAuthority(self, clock)
    private val pendingClaims = HashMap<Long, CompletableDeferred<ClaimReply>>()
    private val pendingReplications = HashMap<Long, (Boolean) -> Unit>()
    private var map = OwnershipMap()
    private var nextCallId = 1L

    /** The number of keys whose records are held here. */
    val size: Int get() = authority.size

    /**
     * Asks the owner of the key's slot for permission to run the command of [claim]. A reply that
     * does not arrive within [CLAIM_TIMEOUT_MS] counts as [ClaimReply.Unavailable]; a grant that
     * arrives later is not used.
     */
    suspend fun claim(claim: KeyClaim): ClaimReply {
        val reply = CompletableDeferred<ClaimReply>()
        val callId = control.call { sendClaim(claim, reply) }
        val result = withTimeoutOrNull(CLAIM_TIMEOUT_MS) { reply.await() }
        control.post { pendingClaims.remove(callId) }
        return result ?: ClaimReply.Unavailable
    }

    /**
     * Reports to the owner of the key's slot how the command of [claim] ended. A `null` [outcome]
     * means that the command did not run and frees the key.
     */
    fun reportOutcome(claim: KeyClaim, outcome: KeyOutcome.Finished?) = control.post {
        val slot = map.slotOf(claim.key)?.let { map.slots[it] } ?: return@post
        val message = PeerMessage.ClaimOutcome(claim.key, claim.attempt, outcome)
        send(slot.owner, message)
        if (outcome == null) slot.successor?.let { send(it, message) }
    }

    /** Whether the successor of slot [index] is known to have the slot's records. */
    fun isReplicated(index: Int): Boolean = authority.isReplicated(index)

    /** Applies a newer ownership map and starts the transfers that it requires. */
    fun onOwnershipMap(next: OwnershipMap) {
        map = next
        authority.updateMap(next)
        transfer()
    }

    /**
     * Handles a claim from node [from]. A grant is sent only after the slot's successor, if there
     * is one, has acknowledged the claim.
     */
    fun onClaimRequest(from: NodeId, message: PeerMessage.ClaimRequest) {
        when (val step = authority.claim(message.claim)) {
            is KeyAuthority.Step.Reply -> send(
                from,
                PeerMessage.ClaimResponse(message.callId, step.reply)
            )

            is KeyAuthority.Step.Replicate -> replicate(step.to, step.message) { isAccepted ->
                val reply = authority.onReplicated(step.message, isAccepted)
                send(from, PeerMessage.ClaimResponse(message.callId, reply))
            }
        }
    }

    /** Completes the claim of this node that [message] responds to, if it is still pending. */
    fun onClaimResponse(message: PeerMessage.ClaimResponse) {
        pendingClaims.remove(message.callId)?.complete(message.reply)
    }

    /** Records a claim or its outcome as the successor of the slot's owner [from]. */
    fun onReplicationRequest(from: NodeId, message: PeerMessage.ReplicationRequest) {
        val isAccepted = authority.acceptReplica(message.record)
        send(from, PeerMessage.ReplicationResponse(message.callId, isAccepted))
    }

    /** Takes over the records of slots as the new successor of their owner [from]. */
    fun onTransferRequest(from: NodeId, message: PeerMessage.TransferRequest) {
        val isAccepted = authority.acceptTransfer(message.transfer)
        send(from, PeerMessage.ReplicationResponse(message.callId, isAccepted))
    }

    /** Completes the replication or transfer that [message] responds to, if still pending. */
    fun onReplicationResponse(message: PeerMessage.ReplicationResponse) {
        pendingReplications.remove(message.callId)?.invoke(message.isAccepted)
    }

    /** Frees the key if its command did not run; else records and replicates the outcome. */
    fun onClaimOutcome(message: PeerMessage.ClaimOutcome) {
        val outcome = message.outcome
        if (outcome == null) {
            authority.withdraw(message.key, message.attempt)
            return
        }
        val record = authority.finish(message.key, message.attempt, outcome) ?: return
        val slot = map.slotOf(message.key)?.let { map.slots[it] } ?: return
        slot.successor?.let { replicate(it, record) {} }
    }

    /** Removes expired keys and sends pending transfers to new successors; called periodically. */
    fun maintain() {
        authority.expire()
        transfer()
    }

    private fun sendClaim(claim: KeyClaim, reply: CompletableDeferred<ClaimReply>): Long {
        val callId = nextCallId++
        val owner = map.slotOf(claim.key)?.let { map.slots[it].owner }
        if (owner == null) {
            reply.complete(ClaimReply.Unavailable)
        } else {
            pendingClaims[callId] = reply
            send(owner, PeerMessage.ClaimRequest(callId, claim))
        }
        return callId
    }

    private fun replicate(
        to: NodeId?,
        record: KeyAuthority.ClaimRecord,
        onReply: (Boolean) -> Unit
    ) {
        if (to == null) return onReply(true)
        val callId = registerReplication(onReply)
        send(to, PeerMessage.ReplicationRequest(callId, record))
    }

    private fun transfer() {
        authority.pendingTransfers().forEach { successor ->
            val transfer = authority.transferTo(successor) ?: return@forEach
            val callId =
                registerReplication { if (it) authority.onTransferred(successor, transfer) }
            send(successor, PeerMessage.TransferRequest(callId, transfer))
        }
    }

    private fun registerReplication(onReply: (Boolean) -> Unit): Long {
        val callId = nextCallId++
        pendingReplications[callId] = onReply
        control.timers.after(REPLICATION_TIMEOUT_MS) {
            pendingReplications.remove(callId)?.invoke(false)
        }
        return callId
    }

    private companion object {
        const val CLAIM_TIMEOUT_MS = 1_500L
        const val REPLICATION_TIMEOUT_MS = 1_000L
    }
}
