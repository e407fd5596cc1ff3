package org.bronzetide.scheduling

import org.bronzetide.coordination.NodeId
import org.bronzetide.coordination.RefusalReason
import org.bronzetide.model.TargetId
import org.bronzetide.model.Tier

/**
 * Decides which request of a pool shard is dispatched next, and to which target.
 *
 * Every enrolled ticket gets exactly one [Decision], unless it is withdrawn first. A granted ticket
 * occupies a slot of its target until [release]. The scheduler does no I/O, has no clock and no
 * randomness: the same calls give the same decisions. Single-threaded.
 *
 * @sample org.bronzetide.scheduling.poolSchedulerSample
 */
public class PoolScheduler(private val policy: PoolPolicy) {
    private val queue = TicketQueue(policy)
    private val targets = TargetTracker(policy)
    private val limiter = CallerLimiter()
    private val estimator = OutputEstimator(Feature.ESTIMATES in policy)
    private val running = LinkedHashMap<TicketId, Running>()

    /** The number of queued tickets refused after a grant to a lower tier while they waited. */
    public var shedInversionCount: Int = 0
        private set

    /** The number of waiting tickets. */
    public val queuedCount: Int get() = queue.size

    /** The number of granted tickets that have not been released. */
    public val runningCount: Int get() = running.size

    /** The number of waiting tickets of [tier]. */
    public fun queuedCount(tier: Tier): Int = queue.sizeOf(tier)

    /** The identifiers of all waiting and running tickets. */
    public fun ticketIds(): Set<TicketId> = queue.ids() + running.keys

    /** The identifiers of the granted tickets that have not been released. */
    public fun runningIds(): Set<TicketId> = running.keys

    /** The state of each target, for display. */
    public fun targetViews(): List<TargetView> = targets.ids().sorted().map {
        val isLeaving = targets.find(it)?.isLeaving == true
        TargetView(it, targets.inFlight(it), targets.limitOf(it), targets.isEjected(it), isLeaving)
    }

    /** Replaces the known targets. Those missing from [specs] get no new requests. */
    public fun updateTargets(specs: List<TargetSpec>) {
        targets.update(specs)
    }

    /**
     * Queues [ticket]. Returns the refusal of it or of a ticket shed in its favor, if there is one.
     *
     * A ticket that is already waiting or running is ignored.
     */
    public fun enroll(ticket: Ticket, nowMs: Long): List<Decision> {
        if (ticket.id in queue || ticket.id in running) return emptyList()
        val outputTokens = estimator.expectedTokens(ticket)
        val tokens = (ticket.promptTokens + outputTokens).toDouble()
        limitRefusal(ticket, tokens, nowMs)?.let { return listOf(it) }
        val latestStartMs = latestStartMs(ticket, estimator.expectedTokensOrOne(ticket))
        if (latestStartMs < nowMs) {
            limiter.end(ticket.caller, -tokens, nowMs)
            return listOf(
                Decision.Refuse(ticket, RefusalReason.DEADLINE, retryAfterMs(ticket.tier))
            )
        }
        val shed = if (queue.size < policy.maxQueued) null else shedFor(ticket, tokens, nowMs)
        if (shed?.ticket?.id != ticket.id) queue.add(ticket, tokens, latestStartMs, nowMs)
        return listOfNotNull(shed)
    }

    /** Removes a ticket whose request ended before a grant. Returns whether it was waiting. */
    public fun withdraw(id: TicketId, nowMs: Long): Boolean {
        val entry = queue.remove(id) ?: return false
        limiter.end(entry.ticket.caller, -entry.tokens, nowMs)
        return true
    }

    /** Records that a granted ticket's request has its first token, which ends its prefill. */
    public fun onFirstToken(id: TicketId) {
        running[id]?.let { endPrefill(it) }
    }

    /** Ends a granted ticket. Unknown tickets are ignored, so that the call is idempotent. */
    public fun release(id: TicketId, release: Release, nowMs: Long) {
        val run = running.remove(id) ?: return
        endPrefill(run)
        targets.end(run.target, run.predictedMs, release, nowMs)
        val isMeasured = release.outcome == ReleaseOutcome.FINISHED
        if (isMeasured) estimator.learn(run.ticket, release.outputTokens)
        val served = (release.promptTokens + release.outputTokens).toDouble()
        queue.charge(run.ticket, served - run.tokens)
        limiter.end(run.ticket.caller, served - run.tokens, nowMs)
    }

    /** Takes over a ticket that an earlier arbiter granted on [target]. */
    public fun adopt(ticket: Ticket, target: TargetId, nowMs: Long) {
        if (ticket.id in running) return
        if (ticket.id in queue) withdraw(ticket.id, nowMs)
        limiter.countAdmitted(ticket.caller)
        start(ticket, targets.findOrAddUnlisted(target), estimator.expectedTokens(ticket))
    }

    /** Drops all tickets of [node] and frees their slots, as when the node has failed. */
    public fun dropNode(node: NodeId, nowMs: Long) {
        ticketIds().filter { it.node == node }.forEach { drop(it, nowMs) }
    }

    /** Drops one ticket, waiting or running. */
    public fun drop(id: TicketId, nowMs: Long) {
        if (!withdraw(id, nowMs)) release(id, Release(ReleaseOutcome.CANCELLED), nowMs)
    }

    /** Grants all tickets that can start now, and refuses those that cannot start in time. */
    public fun decide(nowMs: Long): List<Decision> {
        targets.endEjections(nowMs)
        val decisions = ArrayList<Decision>()
        while (true) {
            val late = queue.expired(nowMs) ?: break
            decisions += refuseLate(late, nowMs)
        }
        while (true) {
            decisions += grantNext(nowMs) ?: break
        }
        return decisions
    }

    private fun grantNext(nowMs: Long): Decision? =
        targets.lowestTierWithCapacity()?.let { queue.next(it) }?.let { grant(it, nowMs) }

    private fun endPrefill(run: Running) {
        if (run.isPrefilled) return
        run.isPrefilled = true
        targets.onPrefilled(run.target, run.ticket.promptTokens)
    }

    private fun limitRefusal(ticket: Ticket, tokens: Double, nowMs: Long): Decision? {
        if (ticket.wasAdmitted) {
            limiter.countAdmitted(ticket.caller)
            return null
        }
        val waitMs = limiter.admit(ticket.caller, ticket.limits, tokens, nowMs) ?: return null
        return Decision.Refuse(ticket, RefusalReason.OVER_LIMIT, waitMs)
    }

    private fun latestStartMs(ticket: Ticket, outputTokens: Int): Long {
        if (Feature.FEASIBILITY !in policy) return ticket.deadlineAtMs
        return ticket.deadlineAtMs - targets.fastestMs(ticket.promptTokens, outputTokens).toLong()
    }

    private fun shedFor(ticket: Ticket, tokens: Double, nowMs: Long): Decision.Refuse {
        val candidate = queue.shedCandidateFor(ticket, tokens)
        if (candidate != null) {
            countInversion(candidate)
            withdraw(candidate.ticket.id, nowMs)
        } else {
            limiter.end(ticket.caller, -tokens, nowMs)
        }
        val shed = candidate?.ticket ?: ticket
        return Decision.Refuse(shed, RefusalReason.SHED, retryAfterMs(shed.tier))
    }

    private fun countInversion(entry: QueuedTicket) {
        if (queue.wasOvertaken(entry)) shedInversionCount++
    }

    private fun refuseLate(entry: QueuedTicket, nowMs: Long): Decision {
        countInversion(entry)
        withdraw(entry.ticket.id, nowMs)
        val retryMs = retryAfterMs(entry.ticket.tier)
        return Decision.Refuse(entry.ticket, RefusalReason.DEADLINE, retryMs)
    }

    private fun grant(entry: QueuedTicket, nowMs: Long): Decision? {
        val ticket = entry.ticket
        val outputTokens = estimator.expectedTokens(ticket)
        val target = targets.choose(ticket, outputTokens) ?: return null
        val knownTokens = estimator.expectedTokensOrOne(ticket)
        val isFeasible = targets.isFeasible(target, ticket, knownTokens, nowMs)
        if (!isFeasible) return refuseLate(entry, nowMs)
        queue.remove(ticket.id)
        queue.onGranted(entry)
        start(ticket, target, outputTokens)
        return Decision.Grant(ticket, target.id)
    }

    private fun start(ticket: Ticket, target: TargetState, outputTokens: Int) {
        val predictedMs = target.latency.predictMs(ticket.promptTokens, outputTokens)
        val tokens = (ticket.promptTokens + outputTokens).toDouble()
        running[ticket.id] = Running(ticket, target.id, predictedMs, tokens)
        targets.start(target, ticket, predictedMs)
        queue.charge(ticket, tokens)
    }

    private fun retryAfterMs(tier: Tier): Long {
        val aheadMs = targets.fastestMs(0, queue.tokensAhead(tier).toInt())
        val waitMs = aheadMs / targets.totalLimit().coerceAtLeast(1)
        return waitMs.toLong().coerceIn(MIN_RETRY_MS, MAX_RETRY_MS)
    }

    private class Running(
        val ticket: Ticket,
        val target: TargetId,
        val predictedMs: Double,
        val tokens: Double
    ) {
        var isPrefilled = false
    }

    /** The state of a target. */
    public data class TargetView(
        val id: TargetId,
        val inFlight: Int,
        val limit: Int,
        val isEjected: Boolean,
        val isLeaving: Boolean
    )

    private companion object {
        const val MIN_RETRY_MS = 200L
        const val MAX_RETRY_MS = 30_000L
    }
}
