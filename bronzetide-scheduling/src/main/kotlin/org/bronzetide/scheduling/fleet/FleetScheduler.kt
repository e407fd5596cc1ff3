package org.bronzetide.scheduling.fleet

import kotlin.random.Random

/**
 * Decides on one host which waiting request is sent next, and to which target.
 *
 * Engines process requests in order of arrival, so urgent requests can only be put first here: a
 * target gets no more requests than it runs concurrently, and the others wait in [WaitingQueue].
 * The scheduler does no I/O and has no clock. Single-threaded.
 */
public class FleetScheduler(private val zone: String, private val random: Random) {
    private val targets = LinkedHashMap<String, TargetLoad>()
    private val engine = EngineLatencyModel()
    private val responseTimes = ResponseTimes()
    private val waiting = WaitingQueue(responseTimes::usualMs)
    private val running = HashMap<Long, Run>()
    private val overloadPolicies = HashMap<String, OverloadPolicy>()

    /** The parts of prompts that crash targets. Requests with such a part are refused. */
    public val poisonParts: PoisonPartDetector = PoisonPartDetector()

    /** The limits on requests that targets have stated. */
    public val limits: TargetLimits = TargetLimits()
    private var peerDemands: Map<String, Map<Int, Int>> = emptyMap()

    /** Decides whether a fraction of a slot counts as a whole one; differs between hosts. */
    private var shareRounding = random.nextDouble()

    /**
     * The number of hosts that send to the same targets, including this one. With more hosts, the
     * known loads of the others are older, and more hosts would choose the same target.
     */
    public var hostCount: Int = 1

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
            targets.getOrPut(spec.id) { TargetLoad(spec) }.spec = spec
        }
        limits.updateTargets(specs)
    }

    /**
     * Replaces the loads of the other hosts on each target. They were counted [ageMs] milliseconds
     * before [nowMs]; what a target itself has reported since then is kept.
     */
    public fun updatePeerLoads(
        loads: Map<String, PeerLoad>,
        nowMs: Long = 0,
        ageMs: Long = 0
    ): Unit = targets.forEach { (id, load) -> load.updatePeerLoad(loads[id], nowMs, ageMs) }

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
        val permits = targets.values.inService(service)
            .sumOf { limits.permitCount(it.spec.ref, nowMs) }
        val waitingCount = waiting.count(service)
        val expected = overloadPolicies[service]?.expectedSends(durationMs, nowMs) ?: 0
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
     * Whether [service] has capacity to spare at [nowMs]: the requests of all hosts, as last
     * reported, are fewer than its slots, none of this host waits, and a target not in [avoid] has
     * a free slot. A service with targets that limit their requests per second has none to spare.
     */
    public fun hasSpareSlot(service: String, avoid: Set<String>, nowMs: Long): Boolean {
        if (waiting.count(service) > 0) return false
        val usable = targets.values.inService(service).usable(nowMs)
        if (usable.any { limits.perSecond(it.spec.ref) != null }) return false
        val demand = running.values.count { it.ticket.service == service } +
            peerDemands[service]?.values.orEmpty().sum()
        if (demand >= usable.sumOf { it.spec.slots }) return false
        return usable.any {
            it.spec.id !in avoid && !it.isSuspectedByPeers && it.count < it.spec.slots
        }
    }

    /** Replaces the demands of all other hosts together, by service and rank. */
    public fun updatePeerDemands(demands: Map<String, Map<Int, Int>>) {
        peerDemands = demands
        shareRounding = random.nextDouble()
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
        waiting.add(ticket, nowMs, onDecision)
        overloadPolicyOf(ticket).onArrival(nowMs)
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
            targets.values.inService(run.load.spec.service).mayEjectOne(nowMs)
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
        val ahead = HashMap<String, Int>()
        val restMsByService = HashMap<String, Long>()
        val decided = ArrayList<Pair<WaitingQueue.Entry, FleetDecision>>()
        try {
            for (ranked in waiting.inDispatchOrder(nowMs)) {
                val ticket = ranked.entry.ticket
                val restMs = restMsByService.getOrPut(ticket.service) {
                    targets.values.inService(ticket.service).restMs(nowMs)
                }
                val decision = decisionFor(ticket, ranked.rank, ahead, restMs, nowMs) ?: continue
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
     * Returns the decision on [ticket], or `null` if it must wait. [ahead] counts the tickets of
     * each service that wait before it; [restMs] is the time until a target wants requests.
     */
    private fun decisionFor(
        ticket: FleetTicket,
        rank: Int,
        ahead: MutableMap<String, Int>,
        restMs: Long,
        nowMs: Long
    ): FleetDecision? {
        poisonParts.findBlocked(ticket.sharedParts)?.let { part ->
            val remainingMs = poisonParts.blocked.getValue(part) - nowMs
            return FleetDecision.Refuse("prompt part ${part.id} crashes targets", remainingMs)
        }
        if (nowMs > ticket.startByMs) return refuse(ticket, "no target in time", nowMs)
        if (nowMs + restMs > ticket.startByMs) {
            val spreadMs = random.nextLong(restMs / 2 + 1)
            return FleetDecision.Refuse("all targets rest", restMs + spreadMs)
        }
        val position = ahead[ticket.service]
        if (position == null) {
            val best = choose(ticket, rank, nowMs)
            if (best != null) {
                val firstEventMs = engine.firstEventMs(best, ticket.promptTokens, nowMs)
                return FleetDecision.Send(best.spec.id, firstEventMs.toLong())
            }
        } else {
            val isDeferred = rank >= WaitingQueue.DEFERRED_RANK
            val policy = overloadPolicyOf(ticket)
            if (!policy.mayStartInTime(ticket, isDeferred, position, nowMs)) {
                return refuse(ticket, "too many ahead", nowMs)
            }
        }
        ahead[ticket.service] = (position ?: 0) + 1
        return null
    }

    private fun refuse(ticket: FleetTicket, reason: String, nowMs: Long): FleetDecision {
        val slots = targets.values.inService(ticket.service).sumOf { load ->
            val inUse = limits.perSecond(load.spec.ref)?.let(OverloadPolicy::slotsAt)
            minOf(load.spec.slots.toDouble(), inUse ?: Double.MAX_VALUE)
        }
        val ahead = waiting.countAtLeastAsUrgent(ticket.priority)
        val retryAfterMs = overloadPolicyOf(ticket).retryAfterMs(ticket, ahead, slots, nowMs)
        return FleetDecision.Refuse(reason, retryAfterMs)
    }

    private fun overloadPolicyOf(ticket: FleetTicket): OverloadPolicy =
        overloadPolicies.getOrPut(ticket.service) { OverloadPolicy(random) }

    private fun choose(ticket: FleetTicket, rank: Int, nowMs: Long): TargetLoad? {
        val (limited, others) = targets.values.inService(ticket.service).usable(nowMs)
            .partition { limits.perSecond(it.spec.ref) != null }
        // Permits are shares already, and are lost if they are not used.
        val free = limited.filter { limits.maySend(it.spec.ref, nowMs) } +
            others.takeUnless { usesOwnShare(ticket.service, rank, it, nowMs) }.orEmpty()
        val candidates = free.filter { it.count < it.spec.slots }
        val untried = candidates.filter { it.spec.id !in ticket.avoid }.ifEmpty { candidates }
        val unsuspected = untried.filter { !it.isSuspectedByPeers }.ifEmpty { untried }
        return unsuspected.sample(hostCount, random).minByOrNull { score(it, ticket, nowMs) }
    }

    /**
     * Whether this host already uses its share of the slots of [candidates], the targets without a
     * limit, for requests of [rank] and lower.
     */
    private fun usesOwnShare(
        service: String,
        rank: Int,
        candidates: List<TargetLoad>,
        nowMs: Long
    ): Boolean {
        val peers = peerDemands[service] ?: return false
        val slots = candidates.sumOf { it.spec.slots }
        val share = SlotShares(slots, ownDemand(service, nowMs), peers).upTo(rank)
        val used = running.values.count {
            it.ticket.service == service && it.rank <= rank && it.permit == null
        }
        return used + 1 > share + SHARE_MARGIN_SLOTS + shareRounding
    }

    private fun ownDemand(service: String, nowMs: Long): Map<Int, Int> {
        val demand = HashMap(waiting.countByRank(service, nowMs))
        running.values.forEach {
            if (it.ticket.service == service) demand.merge(it.rank, 1, Int::plus)
        }
        return demand
    }

    /**
     * Scores [load] for [ticket], lower is better: the predicted time in milliseconds on an engine,
     * otherwise the occupancy with this ticket times the slowdown. Random jitter breaks ties.
     */
    private fun score(load: TargetLoad, ticket: FleetTicket, nowMs: Long): Double {
        val otherZoneMs = if (load.spec.availabilityZone == zone) 0.0 else OTHER_ZONE_MS
        val occupancy = load.count.toDouble() / load.spec.slots
        if (!load.spec.isEngine) {
            val withThisOne = (load.count + 1.0) / load.spec.slots
            return withThisOne * load.slowdownAt(nowMs) + random.nextDouble() * TIE_BREAK_JITTER
        }
        val outputMs = ticket.expectedEvents * engine.msPerEvent * load.slowdown.current
        val predictedMs = engine.firstEventMs(load, ticket.promptTokens, nowMs) +
            outputMs * OUTPUT_WEIGHT * (1 + occupancy) + otherZoneMs
        return predictedMs * (1 + random.nextDouble() * TIE_BREAK_JITTER)
    }

    private fun start(ranked: WaitingQueue.RankedEntry, targetId: String, nowMs: Long) {
        val ticket = ranked.entry.ticket
        val load = targets.getValue(targetId)
        load.start(ticket.promptTokens)
        overloadPolicyOf(ticket).onSend(nowMs)
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

    private companion object {
        /** Lets a host that holds its share use a slot that no host with a smaller one takes. */
        const val SHARE_MARGIN_SLOTS = 0.5
        const val OTHER_ZONE_MS = 2.0
        const val TIE_BREAK_JITTER = 0.1
        const val OUTPUT_WEIGHT = 0.2
    }
}

/** Up to this many hosts, known loads are recent enough to choose the best target. */
private const val MAX_SMALL_FLEET_HOSTS = 16
private const val SAMPLE_SIZE = 4

/** A random sample if there are many hosts, which would else all choose the same target. */
private fun List<TargetLoad>.sample(hostCount: Int, random: Random): List<TargetLoad> =
    if (hostCount <= MAX_SMALL_FLEET_HOSTS || size <= SAMPLE_SIZE) {
        this
    } else {
        shuffled(random).take(SAMPLE_SIZE)
    }

/** At most half of the targets of a service may be ejected at once. */
private const val MAX_EJECTED_DIVISOR = 2

/** The targets of [service] that do not leave. */
private fun Collection<TargetLoad>.inService(service: String): List<TargetLoad> =
    filter { it.spec.service == service && !it.spec.isLeaving }

/** The time until the first of these targets wants requests; 0 if one does now. */
private fun List<TargetLoad>.restMs(nowMs: Long): Long {
    val firstMs = minOfOrNull { it.restingUntilMs } ?: nowMs
    return (firstMs - nowMs).coerceAtLeast(0)
}

/** The targets that may get requests: none that rests, and ejected ones only if all others do. */
private fun List<TargetLoad>.usable(nowMs: Long): List<TargetLoad> {
    val awake = filter { it.restingUntilMs <= nowMs }
    return awake.filter { it.ejectedUntilMs <= nowMs }.ifEmpty { awake }
}

/** Whether one more of these targets may be ejected. */
private fun List<TargetLoad>.mayEjectOne(nowMs: Long): Boolean =
    (count { it.ejectedUntilMs > nowMs } + 1) * MAX_EJECTED_DIVISOR <= size
