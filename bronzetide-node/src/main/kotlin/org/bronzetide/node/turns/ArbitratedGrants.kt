package org.bronzetide.node.turns

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
 * The entry node's side of turns: keeps the requests, sends their tickets to the arbiter of the
 * pool shard, and repeats them to its successor when the arbiter changes.
 *
 * A request that has no grant is surely not run, whatever became of its arbiter. The first grant of
 * a ticket is used; a second one, from another arbiter, is returned. State lives on the control
 * thread.
 */
internal class ArbitratedGrants(
    private val control: ControlLoop,
    private val clock: MonotonicClock,
    private val shardsOf: (PoolId) -> Int,
    private val send: (NodeId, PeerMessage) -> Unit
) : GrantSource {
    private val entries = LinkedHashMap<Long, Entry>()
    private val arbiters = HashMap<PoolShard, NodeId>()
    private var candidates: List<NodeId> = emptyList()
    private var nextSequence = 1L

    /** The requests that wait for a grant or use one. */
    val size: Int get() = entries.size

    override suspend fun acquire(request: GrantRequest): GrantResult {
        val entry = control.call { enroll(request) }
        try {
            return entry.result.await()
        } catch (cause: CancellationException) {
            control.post { withdraw(entry) }
            throw cause
        }
    }

    override fun onFirstToken(turn: DispatchGrant) = control.post {
        val arbiter = arbiters[turn.shard] ?: return@post
        send(arbiter, PeerMessage.FirstTokens(turn.shard, listOf(turn.sequence)))
    }

    override fun release(turn: DispatchGrant, release: Release) = control.post {
        val entry = entries.remove(turn.sequence) ?: return@post
        sendRelease(entry.shard, entry.sequence, release)
    }

    /** Takes the nodes that may be arbiters and moves tickets whose arbiter changed. */
    fun onCandidates(eligible: List<NodeId>) {
        if (eligible == candidates) return
        candidates = eligible
        val moved = arbiters.keys.filter { arbiterOf(it) != arbiters[it] }.toSet()
        moved.forEach { shard -> move(shard) }
        entries.values.filter {
            it.shard in moved
        }.groupBy { it.shard }.forEach { (shard, tickets) ->
            sendEnroll(shard, tickets.map { wire(it, isRepeated = true) })
        }
    }

    private fun move(shard: PoolShard) {
        val next = arbiterOf(shard) ?: return
        val previous = arbiters.put(shard, next)
        if (previous != null) send(previous, PeerMessage.Audit(shard, emptyList()))
    }

    fun onDecisions(from: NodeId, message: PeerMessage.Decisions) {
        message.decisions.forEach { decide(from, message.shard, it) }
    }

    /** Sends again what the arbiter says it does not know. */
    fun onMissing(message: PeerMessage.Missing) {
        val known = message.sequences.mapNotNull { entries[it] }
        sendEnroll(message.shard, known.map { wire(it, isRepeated = true) })
    }

    /** Tells each arbiter which tickets this node has there. */
    fun audit() {
        val byShard = entries.values.groupBy({ it.shard }, { it.sequence })
        arbiters.keys.toList().forEach { shard ->
            val arbiter = arbiters.getValue(shard)
            val sequences = byShard[shard].orEmpty()
            send(arbiter, PeerMessage.Audit(shard, sequences))
            if (sequences.isEmpty()) arbiters.remove(shard)
        }
    }

    private fun enroll(request: GrantRequest): Entry {
        val sequence = nextSequence++
        val shards = shardsOf(request.pool)
        val shard = PoolShard(request.pool, (sequence % shards).toInt())
        val entry = Entry(sequence, shard, request)
        val arbiter = arbiters[shard] ?: arbiterOf(shard)
        if (arbiter == null) {
            entry.result.complete(GrantResult.Refused(RefusalReason.UNAVAILABLE, RETRY_MS))
            return entry
        }
        arbiters[shard] = arbiter
        entries[sequence] = entry
        sendEnroll(shard, listOf(wire(entry, isRepeated = false)))
        return entry
    }

    private fun decide(from: NodeId, shard: PoolShard, decision: WireDecision) {
        val entry = entries[decision.sequence]
        val target = decision.target
        val isUsed = entry != null && entry.target == null
        when {
            isUsed && target != null -> grant(entry, target)

            isUsed -> {
                entries.remove(entry.sequence)
                val reason = decision.reason ?: RefusalReason.UNAVAILABLE
                entry.result.complete(GrantResult.Refused(reason, decision.retryAfterMs))
            }

            target != null && (entry == null || from != arbiters[shard]) -> {
                val unused = WireRelease(decision.sequence, ReleaseOutcome.CANCELLED)
                send(from, PeerMessage.Releases(shard, listOf(unused)))
            }
        }
    }

    private fun grant(entry: Entry, target: TargetId) {
        entry.target = target
        entry.result.complete(
            GrantResult.Granted(DispatchGrant(entry.shard, entry.sequence, target))
        )
    }

    private fun withdraw(entry: Entry) {
        if (entries.remove(entry.sequence) == null) return
        val outcome = if (entry.target == null) null else ReleaseOutcome.CANCELLED
        val release = WireRelease(entry.sequence, outcome)
        arbiters[entry.shard]?.let { send(it, PeerMessage.Releases(entry.shard, listOf(release))) }
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

    private fun sendEnroll(shard: PoolShard, tickets: List<WireTicket>) {
        val arbiter = arbiters[shard] ?: return
        tickets.chunked(MAX_TICKETS_PER_MESSAGE).forEach {
            send(arbiter, PeerMessage.Enroll(shard, it))
        }
    }

    private fun arbiterOf(shard: PoolShard): NodeId? =
        RendezvousHash.pick(shard.placementName, candidates)

    private fun wire(entry: Entry, isRepeated: Boolean): WireTicket = with(entry.request) {
        WireTicket(
            sequence = entry.sequence,
            tier = policy.tier.level,
            caller = caller,
            operation = operation,
            promptTokens = promptTokens,
            maxOutputTokens = maxOutputTokens,
            prefixHash = prefixHash,
            remainingMs = deadlineAtMs - clock.nowMs(),
            weight = policy.weight,
            limits = policy.limits.takeUnless { it == org.bronzetide.model.CallerLimits() },
            isRepeated = isRepeated,
            avoid = avoid.toList(),
            runningOn = entry.target
        )
    }

    private class Entry(val sequence: Long, val shard: PoolShard, val request: GrantRequest) {
        val result = CompletableDeferred<GrantResult>()
        var target: TargetId? = null
    }

    private companion object {
        const val RETRY_MS = 500L
        const val MAX_TICKETS_PER_MESSAGE = 500
    }
}
