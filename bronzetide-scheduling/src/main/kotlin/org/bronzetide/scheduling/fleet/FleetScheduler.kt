package org.bronzetide.scheduling.fleet

import kotlin.random.Random

/**
 * Decides on one host which waiting request is sent next, and to which target.
 *
 * Engines take requests in the order of their arrival, so urgent work can only be put first here:
 * a target gets no more requests than it runs at once, and the others wait in [WaitingQueue]. The
 * scheduler does no I/O and has no clock; single-threaded.
 */
public class FleetScheduler(private val zone: String, private val random: Random) {
    private val targets = LinkedHashMap<String, TargetLoad>()
    private val engine = EngineLatencyModel()
    private val answerTimes = HashMap<String, ResponseTimeEstimator>()
    private val waiting = WaitingQueue(::expectedMs)
    private val running = HashMap<Long, Run>()
    private val startRates = HashMap<String, SendRate>()

    /**
     * The hosts that send to the same targets, this one included. The more there are, the older is
     * what each knows of the others, and the more would choose the same target.
     */
    public var hostCount: Int = 1

    /** The requests that wait for a target. */
    public val waitingCount: Int get() = waiting.size

    /** The requests that were sent and have not ended. */
    public val runningCount: Int get() = running.size

    /** Takes the targets that are known now. Those missing get no new work. */
    public fun updateTargets(specs: List<FleetTarget>) {
        val listed = specs.associateBy { it.id }
        targets.values.removeIf { it.spec.id !in listed && it.ownCount == 0 }
        targets.values.forEach { load ->
            if (load.spec.id !in listed) load.spec = load.spec.copy(isLeaving = true)
        }
        specs.forEach { spec ->
            targets.getOrPut(spec.id) { TargetLoad(spec) }.spec = spec
        }
    }

    /** Takes what the other hosts have sent to each target. */
    public fun updatePeerLoads(loads: Map<String, PeerLoad>) {
        targets.forEach { (id, load) ->
            load.peerCount = loads[id]?.count ?: 0
            load.peerPromptTokens = loads[id]?.promptTokens ?: 0
        }
    }

    /** What this host has sent to each target, for the other hosts. */
    public fun ownLoads(): Map<String, PeerLoad> = targets.filterValues { it.ownCount > 0 }
        .mapValues { PeerLoad(it.value.ownCount, it.value.ownPromptTokens) }

    /** The speeds of targets that this host has learned, for the other hosts. */
    public fun ownSlowdowns(): Map<String, LoadReport.Slowdown> =
        targets.entries.mapNotNull { (id, load) ->
            load.slowdown.learned()?.let { id to it }
        }.toMap()

    /** Takes the speeds of targets that all hosts have learned. */
    public fun updateFleetSlowdowns(slowdowns: Map<String, Double>): Unit =
        slowdowns.forEach { (id, factor) -> targets[id]?.slowdown?.fleetAverage = factor }

    /** Takes [ticket]; its decision is given to [onDecision], now or by a later call. */
    public fun enroll(ticket: FleetTicket, nowMs: Long, onDecision: (FleetDecision) -> Unit) {
        waiting.add(ticket, onDecision)
        decide(nowMs)
    }

    /** Forgets a ticket that still waits. */
    public fun withdraw(sequence: Long) {
        waiting.remove(sequence)
    }

    /** Notes the first event of the answer to a ticket that was sent. */
    public fun onFirstEvent(sequence: Long, nowMs: Long) {
        val run = running[sequence] ?: return
        if (run.hasFirstEvent) return
        run.hasFirstEvent = true
        run.load.onFirstEvent(run.ticket.promptTokens)
        if (!run.load.spec.isEngine) return
        val tookMs = (nowMs - run.sentAtMs).toDouble()
        engine.learnFirstEvent(tookMs, run.aheadTokens, run.load.slowdown.current)
    }

    /** Learns from the pace at which the answer to a ticket that was sent comes so far. */
    public fun onEventInterval(sequence: Long, msPerEvent: Double) {
        running[sequence]?.let { learnPace(it.load, msPerEvent) }
    }

    /**
     * Ends a ticket that was sent. [msPerEvent] is the pace of its answer, or 0 if too
     * little came to tell. Repeats have no effect.
     */
    public fun release(
        sequence: Long,
        outcome: FleetOutcome,
        nowMs: Long,
        msPerEvent: Double = 0.0
    ) {
        val run = running.remove(sequence) ?: return
        if (!run.hasFirstEvent) run.load.onFirstEvent(run.ticket.promptTokens)
        run.load.end()
        run.load.onOutcome(outcome, nowMs) { mayEject(run.load.spec.service, nowMs) }
        if (outcome == FleetOutcome.ANSWERED && !run.load.spec.isEngine) {
            answerTimes.getOrPut(run.ticket.service) { ResponseTimeEstimator() }.addSample(
                nowMs - run.sentAtMs
            )
        }
        if (outcome == FleetOutcome.ANSWERED && msPerEvent > 0) {
            learnPace(run.load, msPerEvent)
        }
        decide(nowMs)
    }

    /** Sends and refuses whatever is due now. */
    public fun decide(nowMs: Long) {
        if (waiting.size == 0) return
        val full = HashMap<String, Int>()
        val decided = ArrayList<Pair<WaitingQueue.Entry, FleetDecision>>()
        for (entry in waiting.inDispatchOrder(nowMs)) {
            val decision = decisionFor(entry.ticket, full, nowMs) ?: continue
            waiting.remove(entry.ticket.sequence)
            if (decision is FleetDecision.Send) start(entry.ticket, decision.targetId, nowMs)
            decided += entry to decision
        }
        decided.forEach { (entry, decision) -> entry.onDecision(decision) }
    }

    /** The targets that failed here lately, for the other hosts. */
    public fun suspects(nowMs: Long): Set<String> =
        targets.filterValues { it.ejectedUntilMs > nowMs }.keys.toSet()

    /** Takes the targets that failed at other hosts; they are used where no other has room. */
    public fun updatePeerSuspects(ids: Set<String>) {
        targets.forEach { (id, load) -> load.isSuspectedByPeers = id in ids }
    }

    /** What is known of each target, for display. */
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
            it.isSuspectedByPeers
        )
    }

    /** Decides on [ticket]; [ahead] counts the tickets that go before it in full services. */
    private fun decisionFor(
        ticket: FleetTicket,
        ahead: MutableMap<String, Int>,
        nowMs: Long
    ): FleetDecision? {
        if (nowMs > ticket.startByMs) {
            return FleetDecision.Refuse("no target in time", retryAfterMs(ticket))
        }
        val position = ahead[ticket.service]
        if (position == null) {
            val best = choose(ticket, nowMs)
            if (best != null) return FleetDecision.Send(best.spec.id, firstEventMs(best, ticket))
        } else if (!isWithinReach(ticket, position, nowMs)) {
            return FleetDecision.Refuse("too many ahead", retryAfterMs(ticket))
        }
        ahead[ticket.service] = (position ?: 0) + 1
        return null
    }

    /** Whether a ticket with [position] others ahead may get a target in time. */
    private fun isWithinReach(ticket: FleetTicket, position: Int, nowMs: Long): Boolean {
        if (position < SURELY_REACHED) return true
        val rate = startRates[ticket.service] ?: return true
        return position <= rate.expectedSends(ticket.startByMs - nowMs, nowMs) * REACH_MARGIN
    }

    private fun choose(ticket: FleetTicket, nowMs: Long): TargetLoad? {
        val all = usable(ticket.service, nowMs)
        if (isOverOwnShare(all)) return null
        val candidates = all.filter { it.count < it.spec.slots }
        val untried = candidates.filter { it.spec.id !in ticket.avoid }.ifEmpty { candidates }
        val sound = untried.filter { !it.isSuspectedByPeers }.ifEmpty { untried }
        return sampled(sound).minByOrNull { score(it, ticket) }
    }

    /**
     * Whether this host has more than its share of the places under way while few are left. Many
     * hosts that see the same last place would all take it.
     */
    private fun isOverOwnShare(all: List<TargetLoad>): Boolean {
        if (hostCount <= FEW_HOSTS) return false
        val places = all.sumOf { it.spec.slots }
        val isScarce = all.sumOf { minOf(it.count, it.spec.slots) } > places * SCARCE_SHARE
        return isScarce && all.sumOf { it.ownCount } > places * SHARE_MARGIN / hostCount + 1
    }

    /** Among many hosts, a few targets by chance: the best of them is rarely everybody's. */
    private fun sampled(candidates: List<TargetLoad>): List<TargetLoad> =
        if (hostCount <= FEW_HOSTS || candidates.size <= SAMPLE_SIZE) {
            candidates
        } else {
            candidates.shuffled(random).take(SAMPLE_SIZE)
        }

    /** The time from the start of [ticket] to its first event, or to its answer, without a wait. */
    private fun expectedMs(ticket: FleetTicket): Long = if (ticket.expectedEvents > 0) {
        engine.unloadedFirstEventMs(ticket.promptTokens).toLong()
    } else {
        answerTimes[ticket.service]?.expectedMs ?: 0
    }

    private fun firstEventMs(load: TargetLoad, ticket: FleetTicket): Long =
        if (load.spec.isEngine) engine.firstEventMs(load, ticket.promptTokens).toLong() else 0

    /** The predicted time of [ticket] on [load] in milliseconds, with a little chance. */
    private fun score(load: TargetLoad, ticket: FleetTicket): Double {
        val away = if (load.spec.availabilityZone == zone) 0.0 else OTHER_ZONE_MS
        val crowd = load.count.toDouble() / load.spec.slots
        if (!load.spec.isEngine) return crowd + random.nextDouble() * TIE_SHARE
        val outputMs = ticket.expectedEvents * engine.msPerEvent * load.slowdown.current
        val predictedMs = engine.firstEventMs(load, ticket.promptTokens) +
            outputMs * OUTPUT_WEIGHT * (1 + crowd) + away
        return predictedMs * (1 + random.nextDouble() * TIE_SHARE)
    }

    private fun learnPace(load: TargetLoad, msPerEvent: Double) {
        engine.learnEventInterval(msPerEvent)
        load.slowdown.addSample(msPerEvent / engine.msPerEvent)
    }

    private fun usable(service: String, nowMs: Long): List<TargetLoad> {
        val listed = targets.values.filter { it.spec.service == service && !it.spec.isLeaving }
        return listed.filter { it.ejectedUntilMs <= nowMs }.ifEmpty { listed }
    }

    private fun mayEject(service: String, nowMs: Long): Boolean {
        val all = targets.values.filter { it.spec.service == service && !it.spec.isLeaving }
        val ejected = all.count { it.ejectedUntilMs > nowMs }
        return (ejected + 1) * MAX_EJECTED_DIVISOR <= all.size
    }

    private fun start(ticket: FleetTicket, targetId: String, nowMs: Long) {
        val load = targets.getValue(targetId)
        load.start(ticket.promptTokens)
        startRates.getOrPut(ticket.service) { SendRate() }.onSend(nowMs)
        running[ticket.sequence] = Run(ticket, load, nowMs, load.promptTokens)
    }

    private fun retryAfterMs(ticket: FleetTicket): Long {
        val slots = targets.values
            .filter { it.spec.service == ticket.service && !it.spec.isLeaving }
            .sumOf { it.spec.slots }.coerceAtLeast(1)
        val ahead = waiting.countAtLeastAsUrgent(ticket.priority)
        val turnMs = TYPICAL_RUN_MS * ahead / slots
        return (MIN_RETRY_MS + turnMs + random.nextLong(RETRY_SPREAD_MS)).coerceAtMost(MAX_RETRY_MS)
    }

    /** What this host knows of one target. */
    public data class TargetView(
        val id: String,
        val service: String,
        val ownCount: Int,
        val peerCount: Int,
        val slots: Int,
        /** How much longer the target takes than is usual. */
        val slowdown: Double,
        val isLeaving: Boolean,
        /** How much longer the target gets a rest after failures; 0 for none. */
        val ejectedForMs: Long,
        val isSuspectedByPeers: Boolean
    )

    /** What another host has sent to a target and has not seen the end of. */
    public data class PeerLoad(val count: Int, val promptTokens: Long)

    private class Run(
        val ticket: FleetTicket,
        val load: TargetLoad,
        val sentAtMs: Long,
        /** The prompt tokens that were to be read at the target, the run's own included. */
        val aheadTokens: Long
    ) {
        var hasFirstEvent = false
    }

    private companion object {
        /** So few ahead are no reason to refuse, whatever the rate. */
        const val SURELY_REACHED = 6

        /** Refuses only what is clearly beyond reach, as the rate of a second is no certainty. */
        const val REACH_MARGIN = 1.3

        /** Up to so many hosts, news of the others are fresh enough to take the best target. */
        const val FEW_HOSTS = 16
        const val SAMPLE_SIZE = 4
        const val SCARCE_SHARE = 0.8
        const val SHARE_MARGIN = 1.2
        const val OTHER_ZONE_MS = 2.0
        const val TIE_SHARE = 0.1
        const val OUTPUT_WEIGHT = 0.2

        /** At most a half of the targets of a service may be ejected at once. */
        const val MAX_EJECTED_DIVISOR = 2
        const val TYPICAL_RUN_MS = 1_500L
        const val MIN_RETRY_MS = 200L
        const val RETRY_SPREAD_MS = 300L
        const val MAX_RETRY_MS = 5_000L
    }
}
