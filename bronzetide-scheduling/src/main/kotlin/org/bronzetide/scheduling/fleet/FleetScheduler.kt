package org.bronzetide.scheduling.fleet

import kotlin.random.Random

/**
 * Decides on one host which waiting request is sent next, and to which target.
 *
 * Engines process requests in order of arrival, so urgent requests can only be put first here: a
 * target gets no more requests than it runs concurrently, and the others wait in [WaitingQueue].
 * The scheduler does no I/O and has no clock. Single-threaded.
 */
public class FleetScheduler(
    zone: String,
    private val random: Random,
    private val accountShares: AccountShares = AccountShares()
) {
    private val targets = LinkedHashMap<String, TargetLoad>()

    /** The targets of each service that do not leave. */
    private var activeTargets: Map<String, List<TargetLoad>> = emptyMap()

    /** The slots of [activeTargets], by service; needed for each ticket that waits. */
    private var activeSlots: Map<String, Int> = emptyMap()
    private val engine = EngineLatencyModel()
    private val responseTimes = ResponseTimes()
    private val waiting = WaitingQueue(responseTimes::usualMs)
    private val running = HashMap<Long, Run>()
    private val overloadPolicies = OverloadPolicies(random)
    private val fleet = FleetView(random)
    private val selector = TargetSelector(zone, random, engine, fleet)

    /** The parts of prompts that crash targets. Requests with such a part are refused. */
    public val poisonParts: PoisonPartDetector = PoisonPartDetector()

    /** The limits on requests that targets have stated. */
    public val limits: TargetLimits = TargetLimits()

    /** The targets that want no requests from this host for a while. */
    public val rests: TargetRests =
        TargetRests { target -> targets[target.id]?.takeIf { it.spec.ref == target } }

    /**
     * The number of hosts that send to the same targets, including this one. With more hosts, the
     * known loads of the others are older, and more hosts would choose the same target.
     */
    public var hostCount: Int by fleet::hostCount

    /**
     * Whether a target may get the next request while versions are rolled out; asked only of free
     * targets. `isBound` tells that the request must go to the version of that target.
     */
    public var isVersionAllowed: (FleetTarget, isBound: Boolean) -> Boolean = { _, _ -> true }

    /**
     * What [isVersionAllowed] would return, without an effect on its later answers; asked for
     * explanations.
     */
    public var wouldAllowVersion: (FleetTarget, isBound: Boolean) -> Boolean = { _, _ -> true }

    /** Explains decisions by the same rules, see [explain]. */
    internal val explainer: FleetExplainer
        get() = FleetExplainer(
            this,
            targets.values,
            waiting,
            engine,
            selector,
            fleet,
            accountShares
        )

    /** The number of requests that wait for a target. */
    public val waitingCount: Int get() = waiting.size

    /** The number of requests that were sent and have not ended. */
    public val runningCount: Int get() = running.size

    /** Replaces the known targets. Those missing from [specs] get no new requests. */
    public fun updateTargets(specs: List<FleetTarget>) {
        val listed = specs.associateBy { it.id }
        targets.values.removeIf { it.spec.id !in listed && it.ownCount == 0 }
        targets.values.forEach { load ->
            if (load.spec.id !in listed) load.spec = load.spec.copy(isLeaving = true)
        }
        specs.forEach { spec ->
            val known = targets[spec.id]
            if (known != null && known.spec.start == spec.start) {
                known.spec = spec
            } else {
                // What was learned of an earlier start of the target does not hold for this one.
                targets[spec.id] = TargetLoad(spec)
            }
        }
        activeTargets = targets.values.filter { !it.spec.isLeaving }.groupBy { it.spec.service }
        activeSlots = activeTargets.mapValues { (_, loads) -> loads.sumOf { it.spec.slots } }
        limits.updateTargets(specs)
    }

    /**
     * Replaces the loads of the other hosts on each target. They were counted [ageMs] milliseconds
     * before [nowMs]; what a target itself has reported since then is kept.
     */
    public fun updatePeerLoads(loads: Map<String, PeerLoad>, nowMs: Long = 0, ageMs: Long = 0) {
        targets.forEach { (id, load) -> load.updatePeerLoad(loads[id], nowMs, ageMs) }
        fleet.onLoads(activeTargets, ageMs)
    }

    /**
     * Records what the target of a ticket that was sent reports of itself: the requests in progress
     * from all hosts, and its momentary [slowdown], or `null` if it has none.
     */
    public fun onReportedLoad(sequence: Long, inProgress: Int, slowdown: Double?, nowMs: Long) {
        running[sequence]?.load?.onReported(inProgress, slowdown, nowMs)
    }

    /**
     * Records that the target of a ticket that was sent wants no requests from this host before
     * [untilMs]. That is no sign of ill health.
     */
    public fun onRest(sequence: Long, untilMs: Long) {
        running[sequence]?.load?.rest(untilMs)
    }

    /**
     * Records that the target of a ticket that was sent takes [perSecond] requests a second from
     * all hosts together, or any number if that is `null`.
     */
    public fun onLimit(sequence: Long, perSecond: Double?, nowMs: Long) {
        val run = running[sequence] ?: return
        val limit = RequestLimit(perSecond, run.sentAtMs, nowMs)
        limits.onStated(run.target, limit)
    }

    /**
     * The requests of this host for [service]: those that wait, and those that are expected within
     * [durationMs] milliseconds, less the permits for its limited targets.
     */
    public fun sendDemand(service: String, durationMs: Long, nowMs: Long): SendDemand {
        val permits = activeTargets[service].orEmpty()
            .sumOf { limits.permitCount(it.spec.ref, nowMs) }
        val waitingCount = waiting.count(service)
        val expected = overloadPolicies.of(service).expectedSends(durationMs, nowMs)
        val sparePermits = (permits - waitingCount).coerceAtLeast(0)
        return SendDemand(
            (waitingCount - permits).coerceAtLeast(0),
            (expected - sparePermits).coerceAtLeast(0)
        )
    }

    /** The load of this host on each target, to report to the other hosts. */
    public fun ownLoads(): Map<String, PeerLoad> = targets.filterValues { it.ownCount > 0 }
        .mapValues { PeerLoad(it.value.ownCount, it.value.ownPromptTokens) }

    /**
     * The requests of this host that run or wait, by service and rank, to report to the other
     * hosts. The lowest rank is the most urgent.
     */
    public fun ownDemands(nowMs: Long): Map<String, Map<Int, Int>> =
        targets.values.map { it.spec.service }.distinct()
            .associateWith { ownDemand(it, nowMs) }.filterValues { it.isNotEmpty() }

    /**
     * Whether the service of [ticket] has capacity to spare at [nowMs]: the requests of all hosts,
     * as last reported, are fewer than its slots, none of this host waits, and a target of the
     * ticket's version that it does not avoid has a free slot. A service with targets that limit
     * their requests per second has none to spare.
     */
    public fun hasSpareSlot(ticket: FleetTicket, nowMs: Long): Boolean {
        val service = ticket.service
        if (waiting.count(service) > 0) return false
        val usable = activeTargets[service].orEmpty().usable(nowMs)
        if (usable.any { limits.perSecond(it.spec.ref) != null }) return false
        val demand = running.values.count { it.ticket.service == service } +
            fleet.demands[service]?.values.orEmpty().sum()
        if (demand >= usable.sumOf { it.spec.slots }) return false
        return usable.any {
            it.spec.id !in ticket.avoid &&
                ticket.accepts(it.spec) &&
                !it.isSuspectedByPeers &&
                it.count < it.spec.slots
        }
    }

    /** Replaces the demands of all other hosts together, by service and rank. */
    public fun updatePeerDemands(demands: Map<String, Map<Int, Int>>) {
        fleet.onDemands(demands)
    }

    /** The slowdowns of targets observed since the last call, to report to the other hosts. */
    public fun takeObservedSlowdowns(): Map<String, LoadReport.Slowdown> =
        targets.entries.mapNotNull { (id, load) ->
            load.slowdown.takeUnreported()?.let { id to it }
        }.toMap()

    /** Updates the slowdowns of targets averaged over all hosts. */
    public fun updateFleetSlowdowns(slowdowns: Map<String, Double>): Unit =
        slowdowns.forEach { (id, slowdown) -> targets[id]?.slowdown?.updateFleetAverage(slowdown) }

    /** Queues [ticket]; [onDecision] gets its decision, during this call or a later one. */
    public fun enroll(ticket: FleetTicket, nowMs: Long, onDecision: (FleetDecision) -> Unit) {
        waiting.add(ticket, nowMs, accountShares.bandOf(ticket.account, nowMs), onDecision)
        overloadPolicies.of(ticket.service).onArrival(nowMs)
        decide(nowMs)
    }

    /** Removes a ticket that still waits. */
    public fun withdraw(sequence: Long) {
        waiting.remove(sequence)
    }

    /** Records the first event of the response to a ticket that was sent. */
    public fun onFirstEvent(sequence: Long, nowMs: Long) {
        val run = running[sequence] ?: return
        if (run.hasFirstEvent) return
        run.firstEventAtMs = nowMs
        run.load.onFirstEvent(run.ticket.promptTokens)
        if (!run.load.spec.isEngine) return
        val tookMs = nowMs - run.sentAtMs
        responseTimes.addSample(run.ticket.service, tookMs)
        engine.learnFirstEvent(tookMs.toDouble(), run.aheadTokens, run.load.slowdown.current)
    }

    /** Learns from the mean event interval so far of the response to a ticket that was sent. */
    public fun onEventInterval(sequence: Long, msPerEvent: Double) {
        val run = running[sequence] ?: return
        engine.learnEventInterval(msPerEvent)
        run.load.slowdown.addSample(msPerEvent / engine.msPerEvent)
        run.onServed(poisonParts)
    }

    /**
     * Ends a ticket that was sent. [msPerEvent] is the mean event interval of its response in
     * milliseconds, or 0 if it had too few events. Further calls for the ticket have no effect.
     */
    public fun release(
        sequence: Long,
        outcome: FleetOutcome,
        nowMs: Long,
        msPerEvent: Double = 0.0
    ) {
        if (outcome == FleetOutcome.ANSWERED && msPerEvent > 0) {
            onEventInterval(sequence, msPerEvent)
        }
        val run = running.remove(sequence) ?: return
        if (!run.hasFirstEvent) run.load.onFirstEvent(run.ticket.promptTokens)
        run.load.end()
        if (outcome == FleetOutcome.UNSENT) {
            run.permit?.let { limits.returnPermit(run.target, it) }
        }
        run.load.onOutcome(outcome, nowMs) {
            activeTargets[run.load.spec.service].orEmpty().mayEjectOne(nowMs)
        }
        if (outcome != FleetOutcome.UNSENT) {
            overloadPolicies.of(run.ticket.service).onRunEnd(nowMs - run.sentAtMs)
        }
        when (outcome) {
            FleetOutcome.ANSWERED -> run.onServed(poisonParts)
            FleetOutcome.CRASHED -> run.onCrash(poisonParts, random.nextLong(), nowMs)
            else -> Unit
        }
        if (outcome == FleetOutcome.ANSWERED && !run.load.spec.isEngine) {
            responseTimes.addSample(run.ticket.service, nowMs - run.sentAtMs)
        }
        decide(nowMs)
    }

    /** Sends waiting tickets to free targets, and refuses those that cannot start in time. */
    public fun decide(nowMs: Long) {
        if (waiting.size == 0) return
        val rounds = HashMap<Pair<String, SoftwareVersion?>, Round>()
        val decided = ArrayList<Pair<WaitingQueue.Entry, FleetDecision>>()
        try {
            for (ranked in waiting.inDispatchOrder(nowMs)) {
                val ticket = ranked.entry.ticket
                val round = rounds.getOrPut(ticket.service to ticket.version) {
                    val active = activeTargets[ticket.service].orEmpty()
                    Round(active.lackVersionOf(ticket), active.acceptedBy(ticket).restMs(nowMs))
                }
                val decision = decisionFor(ticket, ranked.rank, round, nowMs) ?: continue
                waiting.remove(ticket.sequence)
                if (decision is FleetDecision.Send) start(ranked, decision.targetId, nowMs)
                decided += ranked.entry to decision
            }
        } finally {
            // These have left the queue, so that no later call would decide on them.
            decided.forEach { (entry, decision) -> entry.onDecision(decision) }
        }
    }

    /**
     * The targets that are ejected on this host or want no requests from it, to report to the other
     * hosts.
     */
    public fun suspects(nowMs: Long): Set<String> = targets.filterValues {
        it.ejectedUntilMs > nowMs || it.restingUntilMs > nowMs
    }.keys.toSet()

    /** Replaces the targets suspected by other hosts; used only if no other has a free slot. */
    public fun updatePeerSuspects(ids: Set<String>) {
        targets.forEach { (id, load) -> load.isSuspectedByPeers = id in ids }
    }

    /** The state of each target, for display. */
    public fun views(nowMs: Long): List<TargetView> = targets.values.map {
        TargetView(
            it.spec.id,
            it.spec.service,
            it.ownCount,
            it.peerCount,
            it.spec.slots,
            it.slowdown.current,
            it.spec.isLeaving,
            (it.ejectedUntilMs - nowMs).coerceAtLeast(0),
            it.isSuspectedByPeers,
            limits.perSecond(it.spec.ref)
        )
    }

    /**
     * Returns the decision on [ticket], or `null` if it must wait. [round] holds what was decided
     * on the tickets of its service and version that come before it.
     */
    private fun decisionFor(
        ticket: FleetTicket,
        rank: Int,
        round: Round,
        nowMs: Long
    ): FleetDecision? {
        poisonParts.findBlocked(ticket.sharedParts)?.let { part ->
            val remainingMs = poisonParts.blocked.getValue(part) - nowMs
            return FleetDecision.Refuse("prompt part ${part.id} crashes targets", remainingMs)
        }
        if (nowMs > ticket.startByMs) return refuse(ticket, "no target in time", nowMs)
        val refusal = round.refusalOf(ticket, nowMs)
        if (refusal != null) return refusal
        if (round.mayPlace) {
            when (val placement = place(ticket, rank, nowMs)) {
                is Placement.Found -> {
                    val load = selector.select(
                        placement.candidates,
                        placement.options.counts,
                        ticket,
                        nowMs
                    )
                    val firstEventMs = engine.firstEventMs(load, ticket.promptTokens, nowMs)
                    return FleetDecision.Send(load.spec.id, firstEventMs.toLong())
                }

                // The free targets are too slow for this one, but not for each of the next ones.
                is Placement.Unsuitable -> round.unsuitableCount++

                is Placement.NoneFree -> round.isFull = true
            }
        }
        val position = round.ahead++
        if (position > 0 && !mayWait(ticket, rank, position, nowMs)) {
            return refuse(ticket, "too many ahead", nowMs)
        }
        return null
    }

    /**
     * Whether [ticket] may wait with [position] others of its service ahead of it. An explanation
     * counts [newSends] and [newArrivals] that are not recorded.
     */
    internal fun mayWait(
        ticket: FleetTicket,
        rank: Int,
        position: Int,
        nowMs: Long,
        newSends: Int = 0,
        newArrivals: Int = 0
    ): Boolean {
        val isDeferred = rank >= WaitingQueue.DEFERRED_RANK
        val slots = activeSlots[ticket.service] ?: 0
        val ownSlots = if (fleet.isSmall) null else slots.toDouble() / hostCount
        return overloadPolicies.of(ticket.service)
            .mayStartInTime(
                ticket,
                isDeferred,
                position,
                ownSlots,
                nowMs,
                newSends,
                newArrivals
            )
    }

    /**
     * What was decided so far on the waiting tickets of one service that must go to the same
     * version, or may go to any. Those that wait for one version do not hold up the others.
     */
    private inner class Round(
        /** Whether none of the service's targets runs the version. */
        private val isVersionGone: Boolean,
        /** The time until a target wants requests. */
        private val restMs: Long
    ) {
        /** The tickets that go on waiting. */
        var ahead = 0

        /** Whether no target is free for a ticket. */
        var isFull = false

        /** The tickets for which no free target was fast enough. */
        var unsuitableCount = 0

        val mayPlace: Boolean get() = !isFull && unsuitableCount <= MAX_UNSUITABLE

        fun refusalOf(ticket: FleetTicket, nowMs: Long): FleetDecision.Refuse? {
            if (isVersionGone) return FleetDecision.Refuse(VERSION_GONE, retryAfterMs = null)
            if (nowMs + restMs <= ticket.startByMs) return null
            val spreadMs = random.nextLong(restMs / 2 + 1)
            return FleetDecision.Refuse("all targets rest", restMs + spreadMs)
        }
    }

    /** The targets of one service as they are open to a ticket. */
    internal class Options(
        /** The targets of the ticket's version that do not rest; none ejected if one is not. */
        val usable: List<TargetLoad>,
        val counts: ExpectedCounts,
        /** Whether this host uses its share of the slots of targets without a limit. */
        val isShareUsed: Boolean,
        /** The slots to be left free at each target. */
        val reservedSlots: Int,
        /** The targets that may get a ticket now. */
        val free: List<TargetLoad>
    )

    /** Where a ticket could be sent now. */
    internal sealed class Placement {
        abstract val options: Options

        /** It may be sent to any of [candidates]. */
        class Found(override val options: Options, val candidates: List<TargetLoad>) : Placement()

        /** Targets are free, but on none of them could the response end in time. */
        class Unsuitable(override val options: Options) : Placement()

        class NoneFree(override val options: Options) : Placement()
    }

    private fun refuse(ticket: FleetTicket, reason: String, nowMs: Long): FleetDecision {
        val slots = activeTargets[ticket.service].orEmpty().sumOf { load ->
            val inUse = limits.perSecond(load.spec.ref)?.let(OverloadPolicy::slotsAt)
            minOf(load.spec.slots.toDouble(), inUse ?: Double.MAX_VALUE)
        }
        val ahead = waiting.countAtLeastAsUrgent(ticket.priority)
        val retryAfterMs = overloadPolicies.of(ticket.service)
            .retryAfterMs(ticket, ahead, slots, nowMs)
        return FleetDecision.Refuse(reason, retryAfterMs)
    }

    private fun optionsFor(ticket: FleetTicket, rank: Int, nowMs: Long): Options {
        val service = ticket.service
        val active = activeTargets[service].orEmpty()
        val usable = active.usable(nowMs)
        // Ejected targets are better than none of the version, as they are for a whole service.
        val accepted =
            if (ticket.version == null) usable else active.acceptedBy(ticket).usable(nowMs)
        val counts =
            fleet.expectedCounts(service, overloadPolicies.of(service).typicalRunMs, nowMs)
        val unlimited = usable.filter { limits.perSecond(it.spec.ref) == null }
        val isShareUsed = usesOwnShare(service, rank, unlimited, counts, nowMs)
        val (limited, others) = accepted.partition { limits.perSecond(it.spec.ref) != null }
        // Permits are shares already, and are lost if they are not used.
        val open = limited.filter { limits.maySend(it.spec.ref, nowMs) } +
            others.takeUnless { isShareUsed }.orEmpty()
        val reserved = fleet.reservedSlots(service, rank, usable)
        val free = open.filter { counts.isFree(it, reserved) }
        return Options(accepted, counts, isShareUsed, reserved, free)
    }

    /**
     * Finds the targets that [ticket] may be sent to: those of the version that it must go to, if
     * [isAllowed] accepts them as well.
     */
    internal fun place(
        ticket: FleetTicket,
        rank: Int,
        nowMs: Long,
        isAllowed: (FleetTarget, isBound: Boolean) -> Boolean = isVersionAllowed
    ): Placement {
        val options = optionsFor(ticket, rank, nowMs)
        val free = options.free
        if (free.isEmpty()) return Placement.NoneFree(options)
        val suitable = free.filter { selector.canEndInTime(it, ticket, nowMs) }
        // A faster target may become free while the ticket can still wait for it.
        val isWorthWaiting = suitable.isEmpty() &&
            nowMs + MIN_WAIT_MS < ticket.startByMs &&
            options.usable.any { selector.canEndInTime(it, ticket, nowMs) }
        if (isWorthWaiting) return Placement.Unsuitable(options)
        val isBound = ticket.version != null
        val allowed = suitable.ifEmpty { free }.filter { isAllowed(it.spec, isBound) }
        if (allowed.isEmpty()) return Placement.NoneFree(options)
        val untried = allowed.filter { it.spec.id !in ticket.avoid }.ifEmpty { allowed }
        val unsuspected = untried.filter { !it.isSuspectedByPeers }.ifEmpty { untried }
        return Placement.Found(options, unsuspected)
    }

    /**
     * Whether this host already uses its share of the slots of [candidates], the targets without a
     * limit, for requests of [rank] and lower.
     */
    private fun usesOwnShare(
        service: String,
        rank: Int,
        candidates: List<TargetLoad>,
        counts: ExpectedCounts,
        nowMs: Long
    ): Boolean {
        val peers = fleet.demands[service] ?: return false
        val runsPerUpdate = fleet.runsPerUpdate(overloadPolicies.of(service).typicalRunMs)
        val slots = candidates.sumOf { counts.capacityOf(it) } * runsPerUpdate
        val share = SlotShares(slots, ownDemand(service, nowMs), peers).upTo(rank)
        val used = running.values.count {
            it.ticket.service == service && it.rank <= rank && it.permit == null
        }
        return used + 1 > share + SHARE_MARGIN_SLOTS + fleet.shareRounding
    }

    /** The requests of [service] that run or wait on this host, by rank. */
    internal fun ownDemand(service: String, nowMs: Long): Map<Int, Int> {
        val demand = HashMap(waiting.countByRank(service, nowMs))
        running.values.forEach {
            if (it.ticket.service == service) demand.merge(it.rank, 1, Int::plus)
        }
        return demand
    }

    private fun start(ranked: WaitingQueue.RankedEntry, targetId: String, nowMs: Long) {
        val ticket = ranked.entry.ticket
        val load = targets.getValue(targetId)
        load.start(ticket.promptTokens)
        overloadPolicies.of(ticket.service).onSend(nowMs)
        val permit = limits.takePermit(load.spec.ref, nowMs)
        running[ticket.sequence] = Run(ticket, ranked.rank, load, permit, nowMs, load.promptTokens)
    }

    /** The state of a target as known to this host. */
    public data class TargetView(
        val id: String,
        val service: String,
        val ownCount: Int,
        val peerCount: Int,
        val slots: Int,
        /** How many times longer than usual the target takes. */
        val slowdown: Double,
        val isLeaving: Boolean,
        /** The remaining time of an ejection in milliseconds; 0 for none. */
        val ejectedForMs: Long,
        val isSuspectedByPeers: Boolean,
        /** The requests a second that it takes from all hosts together; `null` for no limit. */
        val limitPerSecond: Double?
    )

    /** The load on a target: unfinished requests, and prompt tokens of those without an event. */
    public data class PeerLoad(val count: Int, val promptTokens: Long)

    private class Run(
        val ticket: FleetTicket,
        /** The rank of the ticket in the queue when it was sent. */
        val rank: Int,
        val load: TargetLoad,
        /** The permit that it was sent for, if the target has a limit. */
        val permit: TargetLimits.SendPermit?,
        val sentAtMs: Long,
        /** The prompt tokens to be read at the target, including those of this run. */
        val aheadTokens: Long
    ) {
        /** The start of the target that it was sent to. */
        val target: TargetRef = load.spec.ref
        var firstEventAtMs: Long? = null
        val hasFirstEvent: Boolean get() = firstEventAtMs != null

        /** Whether the response began and went on, so that its prompt crashes no target. */
        private var isServed = false

        fun onServed(parts: PoisonPartDetector) {
            isServed = true
            parts.onServed(ticket.sharedParts, firstEventAtMs ?: sentAtMs)
        }

        fun onCrash(parts: PoisonPartDetector, id: Long, nowMs: Long) {
            if (isServed) return
            parts.onCrash(CrashedRun(id, load.spec.id, ticket.sharedParts, sentAtMs, nowMs))
        }
    }

    internal companion object {
        /** Bounds the work of one decision on tickets that no free target suits. */
        const val MAX_UNSUITABLE = 8

        /** The reason for the refusal of a ticket whose version has no target left. */
        const val VERSION_GONE = "no target of the stream's version"

        /** With less time, a ticket takes the free target that suits it best. */
        private const val MIN_WAIT_MS = 100L

        /** Lets a host that holds its share use a slot that no host with a smaller one takes. */
        private const val SHARE_MARGIN_SLOTS = 0.5
    }
}

/** At most half of the targets of a service may be ejected at once. */
private const val MAX_EJECTED_DIVISOR = 2

/** The targets that run the version that [ticket] must go to. */
internal fun List<TargetLoad>.acceptedBy(ticket: FleetTicket): List<TargetLoad> =
    if (ticket.version == null) this else filter { ticket.accepts(it.spec) }

/**
 * Whether there are targets, but none of the version that [ticket] must go to. While none is known
 * at all, as after the start of this host, the ticket waits like any other.
 */
internal fun List<TargetLoad>.lackVersionOf(ticket: FleetTicket): Boolean =
    isNotEmpty() && none { ticket.accepts(it.spec) }

/** The time until the first of these targets wants requests; 0 if one does now. */
internal fun List<TargetLoad>.restMs(nowMs: Long): Long {
    val firstMs = minOfOrNull { it.restingUntilMs } ?: nowMs
    return (firstMs - nowMs).coerceAtLeast(0)
}

/** The targets that may get requests: none that rests, and ejected ones only if all others do. */
internal fun List<TargetLoad>.usable(nowMs: Long): List<TargetLoad> {
    val awake = filter { it.restingUntilMs <= nowMs }
    return awake.filter { it.ejectedUntilMs <= nowMs }.ifEmpty { awake }
}

/** Whether one more of these targets may be ejected. */
private fun List<TargetLoad>.mayEjectOne(nowMs: Long): Boolean =
    (count { it.ejectedUntilMs > nowMs } + 1) * MAX_EJECTED_DIVISOR <= size
