package org.bronzetide.node.grants

import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.NodeId
import org.bronzetide.coordination.RendezvousHash
import org.bronzetide.model.CallerLimits
import org.bronzetide.model.ConfigObject
import org.bronzetide.model.PoolId
import org.bronzetide.model.Tier
import org.bronzetide.node.peer.PeerMessage
import org.bronzetide.platform.TargetHost
import org.bronzetide.scheduling.Decision
import org.bronzetide.scheduling.Feature
import org.bronzetide.scheduling.PoolPolicy
import org.bronzetide.scheduling.PoolScheduler
import org.bronzetide.scheduling.Release
import org.bronzetide.scheduling.TargetSpec
import org.bronzetide.scheduling.Ticket
import org.bronzetide.scheduling.TicketId

/**
 * The arbiters of this node: one scheduler for each pool shard whose tickets arrive here.
 *
 * No state is persisted. An arbiter that takes over a shard delays its first grant by [REBUILD_MS],
 * so that the entry nodes, which received the requests, can report those that already run. Entry
 * nodes audit their tickets periodically, so that tickets whose release message was lost are
 * dropped. All state is confined to the control thread.
 */
internal class Arbiters(
    private val clock: MonotonicClock,
    private val features: Set<Feature>,
    private val poolOf: (PoolId) -> ConfigObject.PoolObject?,
    private val targetsOf: (PoolId) -> List<TargetHost>,
    private val send: (NodeId, PeerMessage) -> Unit
) {
    private val arbiters = HashMap<PoolShard, Arbiter>()
    private var rebuildUntilMs = Long.MIN_VALUE

    /** The schedulers by shard, for the status report. */
    val schedulers: Map<PoolShard, PoolScheduler> get() = arbiters.mapValues { it.value.scheduler }

    /** The total of the schedulers' [PoolScheduler.shedInversionCount]. */
    val shedInversionCount: Int get() = arbiters.values.sumOf { it.scheduler.shedInversionCount }

    /** The number of tickets that wait or run under the arbiters of this node. */
    val ticketCount: Int
        get() = arbiters.values.sumOf { it.scheduler.queuedCount + it.scheduler.runningCount }

    /**
     * Enrolls the waiting tickets of [message]. Tickets that already run under a grant of an
     * earlier arbiter are counted against their target and not granted again.
     */
    fun onEnroll(from: NodeId, message: PeerMessage.Enroll) {
        val arbiter = arbiterOf(message.shard, message.tickets.any { it.isResent }) ?: return
        val nowMs = clock.nowMs()
        val refusals = message.tickets.flatMap { wire ->
            val ticket = ticket(from, wire, nowMs)
            if (wire.runningOn == null) {
                arbiter.scheduler.enroll(ticket, nowMs)
            } else {
                arbiter.scheduler.adopt(ticket, wire.runningOn, nowMs)
                emptyList()
            }
        }
        arbiter.publish(refusals)
        arbiter.decide(nowMs)
    }

    /** Ends the granted tickets of [message] and drops those that were withdrawn. */
    fun onReleases(from: NodeId, message: PeerMessage.Releases) {
        val arbiter = arbiters[message.shard] ?: return
        val nowMs = clock.nowMs()
        message.releases.forEach { wire ->
            val id = TicketId(from, wire.sequence)
            val outcome = wire.outcome
            if (outcome == null) {
                arbiter.scheduler.drop(id, nowMs)
            } else {
                arbiter.scheduler.release(id, release(wire), nowMs)
            }
        }
        arbiter.decide(nowMs)
    }

    /** Records that the requests of [message] have received their first token. */
    fun onFirstTokens(from: NodeId, message: PeerMessage.FirstTokens) {
        val arbiter = arbiters[message.shard] ?: return
        message.sequences.forEach { arbiter.scheduler.onFirstToken(TicketId(from, it)) }
        arbiter.decide(clock.nowMs())
    }

    /**
     * Compares the tickets that [from] lists with those held here: drops the ones that are not
     * listed, and asks [from] to resend the ones that are unknown.
     */
    fun onAudit(from: NodeId, message: PeerMessage.Audit) {
        val nowMs = clock.nowMs()
        val arbiter = arbiters[message.shard]
        val known = arbiter?.scheduler?.ticketIds().orEmpty().filter { it.node == from }
            .mapTo(HashSet()) { it.sequence }
        val listed = message.sequences.toSet()
        known.filter { it !in listed }
            .forEach { arbiter?.scheduler?.drop(TicketId(from, it), nowMs) }
        val unknown = message.sequences.filter { it !in known }
        if (unknown.isNotEmpty()) send(from, PeerMessage.UnknownTickets(message.shard, unknown))
        arbiter?.decide(nowMs)
    }

    /** Drops all tickets of the failed [node], whose requests ended with its process. */
    fun onNodeDead(node: NodeId) {
        val nowMs = clock.nowMs()
        arbiters.values.forEach {
            it.scheduler.dropNode(node, nowMs)
            it.decide(nowMs)
        }
    }

    /**
     * Applies a change of the targets or the configuration, and removes the idle arbiters of pools
     * that were deleted.
     */
    fun refresh() {
        arbiters.entries.removeIf { (shard, arbiter) ->
            val isIdle = arbiter.scheduler.queuedCount + arbiter.scheduler.runningCount == 0
            poolOf(shard.pool) == null && isIdle
        }
        arbiters.values.forEach { it.refreshTargets() }
        decideAll()
    }

    /** Makes all decisions that are due now in every shard. */
    fun decideAll() {
        val nowMs = clock.nowMs()
        arbiters.values.forEach { it.decide(nowMs) }
    }

    /**
     * Handles a change of the cluster's membership. Arbiters may have moved to this node, so those
     * created within the next [REBUILD_MS] delay their first grant.
     */
    fun onViewChange() {
        rebuildUntilMs = clock.nowMs() + REBUILD_MS
    }

    private fun arbiterOf(shard: PoolShard, isTakeover: Boolean): Arbiter? {
        arbiters[shard]?.let { return it }
        val pool = poolOf(shard.pool) ?: return null
        val grantsAllowedAtMs = if (isTakeover) clock.nowMs() + REBUILD_MS else rebuildUntilMs
        return Arbiter(shard, pool, grantsAllowedAtMs).also { arbiters[shard] = it }
    }

    private fun ticket(from: NodeId, wire: WireTicket, nowMs: Long) = Ticket(
        id = TicketId(from, wire.sequence),
        tier = Tier(wire.tier),
        caller = wire.caller,
        operation = wire.operation,
        promptTokens = wire.promptTokens,
        maxOutputTokens = wire.maxOutputTokens,
        prefixHash = wire.prefixHash,
        deadlineAtMs = nowMs + wire.remainingMs,
        weight = wire.weight,
        limits = wire.limits ?: CallerLimits(),
        wasAdmitted = wire.isResent,
        avoid = wire.avoid.toSet()
    )

    private fun release(wire: WireRelease) = Release(
        wire.outcome!!,
        wire.promptTokens,
        wire.outputTokens,
        wire.firstTokenMs,
        wire.durationMs
    )

    private inner class Arbiter(
        private val shard: PoolShard,
        pool: ConfigObject.PoolObject,
        private val grantsAllowedAtMs: Long
    ) {
        val scheduler = PoolScheduler(
            PoolPolicy(
                pool.concurrencyPerTarget,
                pool.maxQueued,
                pool.betweenTokensMs,
                pool.firstTokenMs,
                features
            )
        )

        init {
            refreshTargets()
        }

        fun refreshTargets() {
            val shards = poolOf(shard.pool)?.shards ?: return
            val specs = targetsOf(shard.pool)
                .filter { RendezvousHash.pick(it.id, (0 until shards).toList()) == shard.index }
                .map { TargetSpec(org.bronzetide.model.TargetId(it.id), it.isLeaving) }
            scheduler.updateTargets(specs)
        }

        fun decide(nowMs: Long) {
            if (nowMs >= grantsAllowedAtMs) publish(scheduler.decide(nowMs))
        }

        fun publish(decisions: List<Decision>) {
            decisions.groupBy { it.ticket.id.node }.forEach { (node, own) ->
                send(node, PeerMessage.Decisions(shard, own.map { wire(it) }))
            }
        }

        private fun wire(decision: Decision): WireDecision {
            val sequence = decision.ticket.id.sequence
            return when (decision) {
                is Decision.Grant -> WireDecision(sequence, target = decision.target)

                is Decision.Refuse ->
                    WireDecision(
                        sequence,
                        reason = decision.reason,
                        retryAfterMs = decision.retryAfterMs
                    )
            }
        }
    }

    private companion object {
        const val REBUILD_MS = 300L
    }
}
