package org.bronzetide.scheduling.fleet

import org.bronzetide.scheduling.fleet.FleetExplanation.Candidate
import org.bronzetide.scheduling.fleet.FleetExplanation.Standing
import org.bronzetide.scheduling.fleet.FleetExplanation.Verdict
import org.bronzetide.scheduling.fleet.FleetScheduler.Placement

/**
 * Explains what would be decided on [ticket] if it were enrolled now. It is in the queue during
 * this call only; no slot, permit or random number is used. Its sequence must not be in use.
 */
public fun FleetScheduler.explain(ticket: FleetTicket, nowMs: Long): FleetExplanation =
    explainer.explain(ticket, nowMs)

/**
 * Explains what [FleetScheduler] would decide on a ticket, from the same state and rules.
 *
 * It takes no permit and draws no random number. Where the scheduler adds jitter to the scores or
 * compares a random sample, the explanation names the target with the best score of all.
 */
internal class FleetExplainer(
    private val scheduler: FleetScheduler,
    private val targets: Collection<TargetLoad>,
    private val waiting: WaitingQueue,
    private val engine: EngineLatencyModel,
    private val selector: TargetSelector,
    private val fleet: FleetView,
    private val accountShares: AccountShares
) {
    private val limits = scheduler.limits

    /** Explains the decision on [ticket], which is in the queue during this call. */
    fun explain(ticket: FleetTicket, nowMs: Long): FleetExplanation {
        val ownDemand = scheduler.ownDemand(ticket.service, nowMs).values.sum()
        val band = accountShares.peekBandOf(ticket.account, nowMs)
        waiting.add(ticket, nowMs, band) {}
        try {
            return explainQueued(ticket, band, ownDemand, nowMs)
        } finally {
            waiting.remove(ticket.sequence)
        }
    }

    private fun explainQueued(
        ticket: FleetTicket,
        band: ShareBand,
        ownDemand: Int,
        nowMs: Long
    ): FleetExplanation {
        val queue = waiting.inDispatchOrder(nowMs)
            .filter { it.entry.ticket.service == ticket.service }
        val position = queue.indexOfFirst { it.entry.ticket.sequence == ticket.sequence }
        val rank = queue[position].rank
        val placement = place(ticket, rank, nowMs)
        val inService = targets.filter { it.spec.service == ticket.service }
        val candidates = inService.map { candidate(it, ticket, placement, nowMs) }.sortedWith(
            compareBy(
                { !it.isFree },
                { it.isFree && it.id in ticket.avoid },
                { it.standing },
                { it.score }
            )
        )
        val active = inService.filter { !it.spec.isLeaving }
        val ahead = aheadOf(ticket, queue.take(position), active, nowMs)
        val verdict = refusal(ticket, active, nowMs) ?: when {
            !ahead.isBlocking && placement is Placement.Found ->
                Verdict.Send(candidates.first().id)

            isTooLate(ticket, rank, ahead, nowMs) ->
                Verdict.Refuse("too many ahead")

            else -> Verdict.Wait(
                if (ahead.isBlocking) {
                    "$position requests ahead of it"
                } else {
                    reasonToWait(candidates)
                },
                maxWaitMs = ticket.startByMs - nowMs
            )
        }
        return FleetExplanation(
            verdict,
            rank,
            band,
            position,
            ownDemand,
            fleet.demands[ticket.service]?.values?.sum(),
            placement.options.isShareUsed,
            placement is Placement.Found && selector.isSampled(placement.candidates),
            candidates
        )
    }

    private fun isTooLate(ticket: FleetTicket, rank: Int, ahead: Ahead, nowMs: Long): Boolean =
        ahead.waitingCount > 0 &&
            !scheduler.mayWait(
                ticket,
                rank,
                ahead.waitingCount,
                nowMs,
                newSends = ahead.sentCount,
                newArrivals = 1
            )

    private fun place(ticket: FleetTicket, rank: Int, nowMs: Long): Placement =
        scheduler.place(ticket, rank, nowMs, scheduler.wouldAllowVersion)

    /** What the tickets ahead of [ticket], [entries] of its service, leave to it. */
    private fun aheadOf(
        ticket: FleetTicket,
        entries: List<WaitingQueue.RankedEntry>,
        active: List<TargetLoad>,
        nowMs: Long
    ): Ahead {
        val aheadByVersion = HashMap<SoftwareVersion?, Ahead>()
        var sentCount = 0
        entries.filter { refusal(it.entry.ticket, active, nowMs) == null }.forEach {
            val ahead = aheadByVersion.getOrPut(it.entry.ticket.version, ::Ahead)
            val isBlocked = sentCount > 0 || ahead.isBlocking
            val placement = if (isBlocked) null else place(it.entry.ticket, it.rank, nowMs)
            when (placement) {
                is Placement.Unsuitable -> ahead.unsuitableCount++
                is Placement.NoneFree -> ahead.isFull = true
                is Placement.Found, null -> Unit
            }
            if (placement is Placement.Found) sentCount++ else ahead.waitingCount++
        }
        return aheadByVersion.getOrPut(ticket.version, ::Ahead).also { it.sentCount = sentCount }
    }

    /** The tickets ahead of one, of those that must go to the same version or may go to any. */
    private class Ahead {
        /** The tickets that go on waiting. */
        var waitingCount = 0

        /** Those of any version that are sent as this host's share of the slots increases. */
        var sentCount = 0

        /** Whether no target is free for one of them. */
        var isFull = false

        /** Tickets that wait for a faster target let others pass, up to a number. */
        var unsuitableCount = 0

        val isBlocking: Boolean
            get() = isFull || sentCount > 0 || unsuitableCount > FleetScheduler.MAX_UNSUITABLE
    }

    /** Why [ticket] is refused whatever is free among the [active] targets of its service. */
    private fun refusal(
        ticket: FleetTicket,
        active: List<TargetLoad>,
        nowMs: Long
    ): Verdict.Refuse? {
        val restMs = active.acceptedBy(ticket).restMs(nowMs)
        val versionRefusal = active.versionRefusal(ticket)
        val blocked = scheduler.poisonParts.findBlocked(ticket.sharedParts)
        return when {
            blocked != null -> Verdict.Refuse("prompt part ${blocked.id} crashes targets")
            nowMs > ticket.startByMs -> Verdict.Refuse("no target in time")
            versionRefusal != null -> Verdict.Refuse(versionRefusal.reason)
            nowMs + restMs > ticket.startByMs -> Verdict.Refuse("all targets rest")
            else -> null
        }
    }

    private fun reasonToWait(candidates: List<Candidate>): String =
        when (candidates.firstOrNull()?.standing) {
            null -> "a target of the service, as none is known"
            Standing.FREE, Standing.SUSPECTED -> "its turn"
            Standing.TOO_SLOW -> "a free target on which the response can end in time"
            Standing.VERSION_NOT_ALLOWED -> "a free target of an allowed version"
            Standing.RESERVED -> "a slot that is not reserved for more urgent requests"
            Standing.SHARE_USED -> "this host's share of the slots"
            Standing.FULL -> "a free slot"
            Standing.NO_PERMIT -> "a permit for a limited target"
            Standing.EJECTED -> "a target that is not ejected"
            Standing.RESTING -> "a target that wants requests"
            Standing.OTHER_VERSION -> "a target of the stream's version"
            Standing.LEAVING -> "a target that does not leave"
        }

    private fun candidate(
        load: TargetLoad,
        ticket: FleetTicket,
        placement: Placement,
        nowMs: Long
    ) = Candidate(
        load.spec.id,
        load.spec.availabilityZone,
        standing(load, ticket, placement, nowMs),
        load.ownCount,
        load.peerCount,
        load.spec.slots,
        load.slowdownAt(nowMs),
        engine.firstEventMs(load, ticket.promptTokens, nowMs).takeIf { load.spec.isEngine },
        selector.score(load, placement.options.counts, ticket, nowMs, jitter = 0.0),
        limits.perSecond(load.spec.ref)
    )

    private fun standing(
        load: TargetLoad,
        ticket: FleetTicket,
        placement: Placement,
        nowMs: Long
    ): Standing {
        val options = placement.options
        val isLimited = limits.perSecond(load.spec.ref) != null
        val brittle = scheduler.brittleServices.statementOn(ticket.service, nowMs)
        return when {
            load.spec.isLeaving -> Standing.LEAVING
            !ticket.accepts(load.spec) -> Standing.OTHER_VERSION
            load.restingUntilMs > nowMs -> Standing.RESTING
            load !in options.usable -> Standing.EJECTED
            !limits.maySend(load.spec.ref, nowMs) -> Standing.NO_PERMIT
            !options.counts.isFree(load, reserved = 0) -> Standing.FULL
            brittle != null &&
                !scheduler.brittleServices.mayAdd(load, brittle, options.usable, fleet.hostCount) ->
                Standing.SHARE_USED

            !isLimited && options.isShareUsed -> Standing.SHARE_USED
            !options.counts.isFree(load, options.reservedSlots) -> Standing.RESERVED
            !scheduler.wouldAllowVersion(load.spec, ticket.version != null) ->
                Standing.VERSION_NOT_ALLOWED
            placement is Placement.Unsuitable -> Standing.TOO_SLOW
            isTooSlow(load, options, ticket, nowMs) -> Standing.TOO_SLOW
            load.isSuspectedByPeers -> Standing.SUSPECTED
            else -> Standing.FREE
        }
    }

    /** If all free targets are too slow, the ticket that can't wait for another takes one. */
    private fun isTooSlow(
        load: TargetLoad,
        options: FleetScheduler.Options,
        ticket: FleetTicket,
        nowMs: Long
    ): Boolean = !selector.canEndInTime(load, ticket, nowMs) &&
        options.free.any { selector.canEndInTime(it, ticket, nowMs) }

    private val Candidate.isFree: Boolean
        get() = standing == Standing.FREE || standing == Standing.SUSPECTED
}
