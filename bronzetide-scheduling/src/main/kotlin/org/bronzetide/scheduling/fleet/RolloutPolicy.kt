package org.bronzetide.scheduling.fleet

import kotlin.math.exp

/**
 * Decides on one host which versions of a service get requests while operators roll one out.
 *
 * Until a decision, the new version gets a small share of this host's requests, at few targets at a
 * time, and is judged by the responses on all hosts. A host that sees evidence of a fault stops at
 * once, and the others when they hear of it; the store's decision is final. Shortly before a
 * rollout completes, the rest of the share is spent at once, so that the old targets, which stop
 * without draining, have few requests left. A host that has not heard from others for half of the
 * time that operators allow for a rollback sends none to the new version, as the others may have
 * found a fault.
 *
 * It does no I/O and has no clock. Times are in milliseconds on the host's clock. Single-threaded.
 */
public class RolloutPolicy(
    /** The share of a service's requests that a bad version may get. */
    private val exposureShare: Double,
    /** The requests that a bad version may get in addition, on all hosts together. */
    private val exposureSlack: Double,
    /** The time within which all hosts must stop to use a version that has shown a fault. */
    rollbackMs: Long = 5_000,
    private val hostCount: () -> Int
) {
    /** Summed counts take a second to spread; the rest is for a change of the aggregator. */
    private val maxSilenceMs = rollbackMs / 2

    private val rollouts = HashMap<String, ServiceRollout>()
    private val earlierOrders = HashSet<RolloutOrder>()
    private val targets = HashMap<String, FleetTarget>()
    private var heldVersions = emptySet<HeldVersion>()
    private val sends = HashMap<Long, Send>()

    /** When this host last heard from others. */
    private var heardAtMs = Long.MIN_VALUE / 2

    /** Called with the evidence when this host stops sending to a version by itself. */
    public var onStop: (RolloutOrder, String) -> Unit = { _, _ -> }

    /** Whether this host knows what the others have seen. */
    public fun isInformed(nowMs: Long): Boolean = nowMs - heardAtMs <= maxSilenceMs

    /** Records that this host has heard from others at [nowMs], or has none to hear from. */
    public fun onHeard(nowMs: Long) {
        heardAtMs = nowMs
    }

    /** Replaces the known targets. */
    public fun updateTargets(known: Collection<FleetTarget>) {
        targets.clear()
        known.associateByTo(targets) { it.id }
        rollouts.values.forEach { it.updateTargets(known) }
    }

    /** Replaces the versions that get no requests until it is known whether an order is on them. */
    public fun hold(versions: Set<HeldVersion>) {
        heldVersions = versions
    }

    /**
     * Starts the rollout of [order], which was given [elapsedMs] ago, and returns whether it is the
     * current one of its service. An order that was replaced by another one counts as given again
     * only if [mayRepeat]; otherwise it is outdated. What was decided on the same order stays.
     */
    public fun start(
        order: RolloutOrder,
        elapsedMs: Long,
        nowMs: Long,
        mayRepeat: Boolean = false
    ): Boolean {
        val known = rollouts[order.service]
        if (known?.order == order) {
            known.onElapsed(elapsedMs, nowMs)
            return true
        }
        if (order in earlierOrders && !mayRepeat) return false
        known?.let { earlierOrders += it.order }
        val budget = ExposureBudget(exposureShare, exposureSlack)
        val rollout = ServiceRollout(order, budget, nowMs - elapsedMs)
        rollout.updateTargets(targets.values)
        rollouts[order.service] = rollout
        return true
    }

    /** Records that the store has [decision] on [order]; the first one is final. */
    public fun onRecorded(order: RolloutOrder, decision: RolloutDecision) {
        val rollout = rollouts[order.service]?.takeIf { it.order == order } ?: return
        if (decision == RolloutDecision.Undecided || rollout.isRecorded) return
        rollout.decision = decision
        rollout.isRecorded = true
    }

    /** What is decided on the rollout of [service], or `null` without an order. */
    public fun decisionOn(service: String): RolloutDecision? = rollouts[service]?.decision

    /** Whether the store has the decision on [service]. */
    public fun isRecorded(service: String): Boolean = rollouts[service]?.isRecorded ?: false

    /** The orders that this host knows. */
    public val orders: List<RolloutOrder> get() = rollouts.values.map { it.order }

    /** The time since the order on [service], in milliseconds, or `null` without one. */
    public fun elapsedMs(service: String, nowMs: Long): Long? = rollouts[service]?.elapsedMs(nowMs)

    /** The requests that this host has sent to new versions of current orders. */
    public val exposedCount: Long get() = rollouts.values.sumOf { it.budget.exposed }

    /** Whether the next request of [service] may be sent to a target of [version]. */
    public fun mayUse(service: String, version: String?, nowMs: Long): Boolean {
        val rollout = rollouts[service]
        val isHeld = heldVersions.isNotEmpty() && HeldVersion(service, version) in heldVersions
        if (isHeld && rollout?.order?.to?.name != version) return false
        if (rollout == null) return true
        val isNew = version == rollout.order.to.name
        return when (rollout.decision) {
            is RolloutDecision.RolledBack -> !isNew
            RolloutDecision.Completed -> isNew
            RolloutDecision.Undecided -> !isNew || mayExpose(rollout, nowMs)
        }
    }

    /**
     * Whether [target] may get the next request; asked of all free targets for each decision, and
     * one of those allowed then gets it. A request that [isBound] to the version of [target] can go
     * nowhere else, so that neither the choice of canaries nor a preference for the new version
     * withholds it.
     */
    public fun isAllowed(target: FleetTarget, nowMs: Long, isBound: Boolean = false): Boolean {
        val rollout = rollouts[target.service]
        if (rollout == null || rollout.decision != RolloutDecision.Undecided) {
            return mayUse(target.service, target.version, nowMs)
        }
        rollout.choices.onAsked(target.id)
        val isNew = target.version == rollout.order.to.name
        val isAllowed = when {
            !mayUse(target.service, target.version, nowMs) -> false
            isBound -> true
            isNew -> rollout.isCanary(target.id, nowMs)
            else -> !isForNew(rollout, nowMs)
        }
        if (isAllowed) rollout.choices.onAllowed()
        return isAllowed
    }

    /**
     * Whether [isAllowed] would accept [target] for a request that is decided on now. Unlike that,
     * it can be asked at any time without an effect on decisions. After a choice without an allowed
     * target, [isAllowed] may still withhold some targets that have become free since.
     */
    public fun wouldAllow(target: FleetTarget, nowMs: Long, isBound: Boolean = false): Boolean {
        if (!mayUse(target.service, target.version, nowMs)) return false
        if (isBound) return true
        val rollout = rollouts[target.service]
        return when {
            rollout == null || rollout.decision != RolloutDecision.Undecided -> true
            target.version == rollout.order.to.name -> rollout.isCanary(target.id, nowMs)
            else -> !(mayShift(rollout, nowMs) && rollout.choices.wouldSteer(nowMs))
        }
    }

    /** Records that the request of ticket [sequence] on [route] was sent to [targetId]. */
    public fun onSend(
        sequence: Long,
        service: String,
        route: String,
        targetId: String,
        isFirst: Boolean,
        nowMs: Long
    ) {
        val rollout = rollouts[service]?.takeIf { !it.isRecorded } ?: return
        val target = targets[targetId] ?: return
        val isNew = target.version == rollout.order.to.name
        rollout.budget.onSend(isFirst, isNew)
        rollout.choices.onCounted()
        sends[sequence] = Send(rollout, route, targetId, isFirst, isNew, nowMs)
    }

    /** Records how the send for ticket [sequence] ended. */
    public fun onEnd(sequence: Long, outcome: FleetOutcome, nowMs: Long) {
        val send = sends.remove(sequence) ?: return
        val rollout = send.rollout
        when (outcome) {
            FleetOutcome.ANSWERED -> rollout.count(send) { it.withAnswer(nowMs - send.sentAtMs) }

            FleetOutcome.ERROR, FleetOutcome.FAILED -> {
                rollout.count(send) { it.withFailure() }
                if (send.isNew) {
                    rollout.own = rollout.own.withFailureAt(send.targetId)
                    rollout.choices.suspend(nowMs + RETRY_PAUSE_MS)
                }
            }

            FleetOutcome.CANCELLED -> {
                val latencyMs = nowMs - send.sentAtMs
                if (rollout.isLate(send.route, latencyMs)) {
                    rollout.count(send) { it.withAnswer(latencyMs) }
                }
            }

            // Targets of any version crash, refuse, leave or cannot be reached.
            FleetOutcome.REFUSED, FleetOutcome.UNREACHABLE, FleetOutcome.GONE,
            FleetOutcome.CRASHED -> Unit

            FleetOutcome.UNSENT -> rollout.budget.onUnsent(send.isFirst, send.isNew)
        }
        judge(rollout, nowMs)
    }

    /** What this host knows of each rollout, to report to the others. */
    public fun ownReports(nowMs: Long): List<RolloutReport> = rollouts.values.map {
        RolloutReport(it.order, it.elapsedMs(nowMs), it.own, it.decision, it.isRecorded)
    }

    /** Replaces what the other hosts together know of rollouts. */
    public fun updatePeerReports(reports: List<RolloutReport>, nowMs: Long) {
        reports.forEach { report ->
            val known = rollouts[report.order.service]
            // Without the store, an order is known only from others, and replaces a decided one.
            val isOther = known != null && known.order != report.order
            if (isOther && !known.isRecorded) return@forEach
            if (!start(report.order, report.elapsedMs, nowMs)) return@forEach
            val rollout = rollouts.getValue(report.order.service)
            rollout.peers = report.counts
            if (report.isRecorded) onRecorded(report.order, report.decision)
            val decision = report.decision
            if (decision is RolloutDecision.RolledBack) stop(rollout, decision.evidence)
            judge(rollout, nowMs)
        }
    }

    /** Whether the store should have a decision on [service] by now. */
    public fun isDecisionDue(service: String, nowMs: Long): Boolean {
        val rollout = rollouts[service] ?: return false
        if (rollout.decision != RolloutDecision.Undecided) return true
        val elapsedMs = rollout.elapsedMs(nowMs)
        val schedule = rollout.schedule
        // Without the counts of the others, they are waited for as long as possible.
        val dueMs = if (isInformed(nowMs)) schedule.completeAtMs else schedule.lastChanceAtMs
        return elapsedMs >= dueMs
    }

    /**
     * Decides what the store should have on [service], or returns `null` without an order. To be
     * called by the one host that writes it: hosts judge by slightly different counts, and the
     * first doubt would give up the version.
     */
    public fun proposal(service: String, nowMs: Long): RolloutDecision? {
        val rollout = rollouts[service] ?: return null
        if (rollout.decision != RolloutDecision.Undecided) return rollout.decision
        if (!isDecisionDue(service, nowMs)) return RolloutDecision.Undecided
        val doubt = rollout.judge.findDoubt(rollout.counts)
        if (doubt == null) return RolloutDecision.Completed
        stop(rollout, doubt)
        return rollout.decision
    }

    private fun mayExpose(rollout: ServiceRollout, nowMs: Long): Boolean {
        if (!isInformed(nowMs)) return false
        val elapsedMs = rollout.elapsedMs(nowMs)
        val part = when {
            rollout.schedule.isShift(elapsedMs) -> 1.0
            CanarySelection.isBurst(elapsedMs) -> CANARY_PART
            else -> CANARY_PART * SPREAD_PART
        }
        return rollout.budget.allows(part, hostCount(), rollout.choices.uncounted)
    }

    /** Whether the next request should go to the new version only. */
    private fun isForNew(rollout: ServiceRollout, nowMs: Long): Boolean =
        mayShift(rollout, nowMs) && rollout.choices.trySteer(nowMs)

    private fun mayShift(rollout: ServiceRollout, nowMs: Long): Boolean {
        val elapsedMs = rollout.elapsedMs(nowMs)
        val isWanted = CanarySelection.isBurst(elapsedMs) ||
            rollout.schedule.isShift(elapsedMs)
        return isWanted &&
            rollout.hasNewTargets &&
            mayExpose(rollout, nowMs)
    }

    private fun judge(rollout: ServiceRollout, nowMs: Long) {
        if (rollout.decision != RolloutDecision.Undecided) return
        if (nowMs - rollout.judgedAtMs < JUDGE_INTERVAL_MS) return
        rollout.judgedAtMs = nowMs
        val counts = rollout.counts
        val recent = counts - rollout.countsBefore(nowMs)
        val judge = rollout.judge
        val areTargetsVaried = rollout.elapsedMs(nowMs) >= MIN_LATENCY_TIME_MS
        rollout.tryOthersThan(
            counts.failuresByTarget.filterValues { it >= FAILURES_TO_TRY_OTHERS }.keys
        )
        val evidence = judge.findFault(counts, areTargetsVaried)
            ?: judge.findFault(recent, areTargetsVaried)
        if (evidence != null) stop(rollout, evidence)
    }

    private fun stop(rollout: ServiceRollout, evidence: String) {
        if (rollout.decision != RolloutDecision.Undecided) return
        rollout.decision = RolloutDecision.RolledBack(evidence)
        onStop(rollout.order, evidence)
    }

    private class Send(
        val rollout: ServiceRollout,
        val route: String,
        val targetId: String,
        val isFirst: Boolean,
        val isNew: Boolean,
        val sentAtMs: Long
    )

    /** The state of one rollout; [startedAtMs] is when the order was given, as far as known. */
    private class ServiceRollout(
        val order: RolloutOrder,
        val budget: ExposureBudget,
        private var startedAtMs: Long
    ) {
        var decision: RolloutDecision = RolloutDecision.Undecided
        var isRecorded = false
        var own = RolloutCounts()
        var peers = RolloutCounts()
        var judgedAtMs = Long.MIN_VALUE / 2
        val choices = VersionChoices()
        private var newIds = emptyList<String>()
        private var oldCount = 0
        private var failedIds = emptySet<String>()
        var judge = RolloutJudge(isOneTarget = false)
            private set
        val schedule = RolloutSchedule(order.durationMs)
        private var canaries = emptySet<String>()
        private var canariesPeriod = -1L
        private val history = ArrayDeque<Pair<Long, RolloutCounts>>()

        val counts: RolloutCounts get() = own + peers

        fun elapsedMs(nowMs: Long): Long = nowMs - startedAtMs

        /** Another host, or the store, has known the order for longer. */
        fun onElapsed(elapsedMs: Long, nowMs: Long) {
            startedAtMs = minOf(startedAtMs, nowMs - elapsedMs)
        }

        val hasNewTargets: Boolean get() = newIds.isNotEmpty()

        fun updateTargets(known: Collection<FleetTarget>) {
            val (new, old) = known.filter { it.service == order.service && !it.isLeaving }
                .partition { it.version == order.to.name }
            newIds = new.map { it.id }
            oldCount = old.size
            judge = RolloutJudge(isOneTarget = new.size == 1)
            canariesPeriod = -1
        }

        /**
         * Tries new targets other than those of [failed]: only failures at several targets tell a
         * bad version from a bad machine.
         */
        fun tryOthersThan(failed: Set<String>) {
            if (failed == failedIds) return
            failedIds = failed
            canariesPeriod = -1
        }

        /** Whether the new target [id] is tried now; in the final shift all are. */
        fun isCanary(id: String, nowMs: Long): Boolean {
            val elapsedMs = elapsedMs(nowMs)
            if (schedule.isShift(elapsedMs)) return true
            val period = elapsedMs / CanarySelection.PERIOD_MS
            if (period != canariesPeriod) {
                val candidates = newIds.filter { it !in failedIds }.ifEmpty { newIds }
                canaries = CanarySelection.select(candidates, oldCount, elapsedMs)
                canariesPeriod = period
            }
            return id in canaries
        }

        fun count(send: Send, change: (VersionCounts) -> VersionCounts) {
            own = own.withRoute(send.route, send.isNew, change)
        }

        /**
         * Whether a request on [route] that was given up after [latencyMs] shows that its target
         * is slow. Without those, the latencies of a slow version would be cut at the deadlines.
         */
        fun isLate(route: String, latencyMs: Long): Boolean {
            val usual = counts.oldByRoute[route]?.takeIf { it.answered > 0 } ?: return false
            return latencyMs > LATE_FACTOR * exp(usual.lnMean)
        }

        /** The counts about [RECENT_MS] ago; a version may turn bad after many good responses. */
        fun countsBefore(nowMs: Long): RolloutCounts {
            val last = history.lastOrNull()
            if (last == null || nowMs - last.first >= HISTORY_STEP_MS) {
                history.addLast(nowMs to counts)
            }
            while (history.size > 1 && nowMs - history[1].first >= RECENT_MS) {
                history.removeFirst()
            }
            return history.first().second
        }
    }

    private companion object {
        /** The part of the budget that is spent on judging; the rest is for the final shift. */
        const val CANARY_PART = 0.65

        /** The part of it that is spent outside of bursts. */
        const val SPREAD_PART = 0.3

        /** Two periods of the canaries, so that each window has a whole burst. */
        const val RECENT_MS = 2 * CanarySelection.PERIOD_MS
        const val LATE_FACTOR = 2

        /** As many as are needed at the other targets. */
        const val FAILURES_TO_TRY_OTHERS = 5
        const val HISTORY_STEP_MS = 500L

        /** Two groups of targets have been tried by then, the second in the next period. */
        const val MIN_LATENCY_TIME_MS = CanarySelection.PERIOD_MS * 3 / 2

        /** A small part of the processor on a host with 100 responses a second. */
        const val JUDGE_INTERVAL_MS = 100L

        /** A request that failed at a new target is repeated at once, and must find an old one. */
        const val RETRY_PAUSE_MS = 100L
    }
}
