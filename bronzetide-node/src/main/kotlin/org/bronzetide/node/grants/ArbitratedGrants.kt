package org.bronzetide.node.grants

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.NodeId
import org.bronzetide.coordination.RefusalReason
import org.bronzetide.coordination.RendezvousHash
import org.bronzetide.model.PoolId
import org.bronzetide.model.TargetId
import org.bronzetide.node.peer.PeerMessage
import org.bronzetide.scheduling.Release
import org.bronzetide.scheduling.ReleaseOutcome

/**
 * Obtains grants from the arbiters for the requests that entered at this node. It keeps the
 * requests, sends their tickets to the arbiter of the pool shard, and resends them to the new
 * arbiter when the shard moves.
 *
 * A request without a grant is guaranteed not to have run, even if its arbiter failed. The first
 * grant of a ticket is used; a later one from another arbiter is released unused. All state is
 * confined to the control thread.
 */
internal class ArbitratedGrants(
    private val control: ControlLoop,
    private val clock: MonotonicClock,
    private val shardsOf: (PoolId) -> Int,
    private val send: (NodeId, PeerMessage) -> Unit
) : GrantSource {
    private val tickets = LinkedHashMap<Long, HeldTicket>()
    private val arbiters = HashMap<PoolShard, NodeId>()
    private var candidates: List<NodeId> = emptyList()
    private var nextSequence = 1L

    /** The number of requests that wait for a grant or hold one. */
    val size: Int get() = tickets.size

    override suspend fun acquire(request: GrantRequest): GrantResult {
        val ticket = control.call { enroll(request) }
        try {
            return ticket.result.await()
        } catch (cause: CancellationException) {
            control.post { withdraw(ticket) }
            throw cause
        }
    }

    override fun onFirstToken(grant: DispatchGrant) = control.post {
        val arbiter = arbiters[grant.shard] ?: return@post
        send(arbiter, PeerMessage.FirstTokens(grant.shard, listOf(grant.sequence)))
    }

    override fun release(grant: DispatchGrant, release: Release) = control.post {
        val ticket = tickets.remove(grant.sequence) ?: return@post
        sendRelease(ticket.shard, ticket.sequence, release)
    }

    /** Sets the nodes that may be arbiters, and resends the tickets whose arbiter changed. */
    fun onCandidates(eligible: List<NodeId>) {
        if (eligible == candidates) return
        candidates = eligible
        val moved = arbiters.keys.filter { arbiterOf(it) != arbiters[it] }.toSet()
        moved.forEach { shard -> moveToSuccessor(shard) }
        tickets.values.filter { it.shard in moved }
            .groupBy { it.shard }
            .forEach { (shard, moving) ->
                sendEnroll(shard, moving.map { wire(it, isResent = true) })
            }
    }

    private fun moveToSuccessor(shard: PoolShard) {
        val next = arbiterOf(shard) ?: return
        val previous = arbiters.put(shard, next)
        if (previous != null) send(previous, PeerMessage.Audit(shard, emptyList()))
    }

    /** Applies the grants and refusals that arbiter [from] sent. */
    fun onDecisions(from: NodeId, message: PeerMessage.Decisions) {
        message.decisions.forEach { decide(from, message.shard, it) }
    }

    /** Resends the tickets that the arbiter reported as unknown, if they still exist here. */
    fun onUnknownTickets(message: PeerMessage.UnknownTickets) {
        val known = message.sequences.mapNotNull { tickets[it] }
        sendEnroll(message.shard, known.map { wire(it, isResent = true) })
    }

    /**
     * Sends each arbiter the list of this node's tickets in its shard, so that both sides recover
     * from lost messages; called periodically.
     */
    fun audit() {
        val byShard = tickets.values.groupBy({ it.shard }, { it.sequence })
        arbiters.keys.toList().forEach { shard ->
            val arbiter = arbiters.getValue(shard)
            val sequences = byShard[shard].orEmpty()
            send(arbiter, PeerMessage.Audit(shard, sequences))
            if (sequences.isEmpty()) arbiters.remove(shard)
        }
    }

    private fun enroll(request: GrantRequest): HeldTicket {
        val sequence = nextSequence++
        val shards = shardsOf(request.pool)
        val shard = PoolShard(request.pool, (sequence % shards).toInt())
        val ticket = HeldTicket(sequence, shard, request)
        val arbiter = arbiters[shard] ?: arbiterOf(shard)
        if (arbiter == null) {
            ticket.result.complete(GrantResult.Refused(RefusalReason.UNAVAILABLE, RETRY_AFTER_MS))
            return ticket
        }
        arbiters[shard] = arbiter
        tickets[sequence] = ticket
        sendEnroll(shard, listOf(wire(ticket, isResent = false)))
        return ticket
    }

    private fun decide(from: NodeId, shard: PoolShard, decision: WireDecision) {
        val ticket = tickets[decision.sequence]
        val target = decision.target
        val isWaiting = ticket != null && ticket.target == null
        when {
            isWaiting && target != null -> grant(ticket, target)

            isWaiting -> {
                tickets.remove(ticket.sequence)
                val reason = decision.reason ?: RefusalReason.UNAVAILABLE
                ticket.result.complete(GrantResult.Refused(reason, decision.retryAfterMs))
            }

            target != null && (ticket == null || from != arbiters[shard]) -> {
                val unused = WireRelease(decision.sequence, ReleaseOutcome.CANCELLED)
                send(from, PeerMessage.Releases(shard, listOf(unused)))
            }
        }
    }

    private fun grant(ticket: HeldTicket, target: TargetId) {
        ticket.target = target
        ticket.result.complete(
            GrantResult.Granted(DispatchGrant(ticket.shard, ticket.sequence, target))
        )
    }

    private fun withdraw(ticket: HeldTicket) {
        if (tickets.remove(ticket.sequence) == null) return
        val outcome = if (ticket.target == null) null else ReleaseOutcome.CANCELLED
        val release = WireRelease(ticket.sequence, outcome)
        arbiters[ticket.shard]?.let {
            send(it, PeerMessage.Releases(ticket.shard, listOf(release)))
        }
    }

    private fun sendRelease(shard: PoolShard, sequence: Long, release: Release) {
        val wire = WireRelease(
            sequence,
            release.outcome,
            release.promptTokens,
            release.outputTokens,
            release.firstTokenMs,
            release.durationMs
        )
        arbiters[shard]?.let { send(it, PeerMessage.Releases(shard, listOf(wire))) }
    }

    private fun sendEnroll(shard: PoolShard, wireTickets: List<WireTicket>) {
        val arbiter = arbiters[shard] ?: return
        wireTickets.chunked(MAX_TICKETS_PER_MESSAGE).forEach {
            send(arbiter, PeerMessage.Enroll(shard, it))
        }
    }

    private fun arbiterOf(shard: PoolShard): NodeId? =
        RendezvousHash.pick(shard.placementName, candidates)

    private fun wire(ticket: HeldTicket, isResent: Boolean): WireTicket = with(ticket.request) {
        WireTicket(
            sequence = ticket.sequence,
            tier = policy.tier.level,
            caller = caller,
            operation = operation,
            promptTokens = promptTokens,
            maxOutputTokens = maxOutputTokens,
            prefixHash = prefixHash,
            remainingMs = deadlineAtMs - clock.nowMs(),
            weight = policy.weight,
            limits = policy.limits.takeUnless { it == org.bronzetide.model.CallerLimits() },
            isResent = isResent,
            avoid = avoid.toList(),
            runningOn = ticket.target
        )
    }

    private class HeldTicket(val sequence: Long, val shard: PoolShard, val request: GrantRequest) {
        val result = CompletableDeferred<GrantResult>()
        var target: TargetId? = null
    }

    private companion object {
        const val RETRY_AFTER_MS = 500L
        const val MAX_TICKETS_PER_MESSAGE = 500
    }
}
