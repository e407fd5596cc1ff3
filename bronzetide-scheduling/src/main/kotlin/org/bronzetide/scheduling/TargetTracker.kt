package org.bronzetide.scheduling

import java.util.TreeSet
import org.bronzetide.model.TargetId
import org.bronzetide.model.Tier

/** The targets of a pool shard, those with free capacity ordered by predicted finish. */
internal class TargetTracker(private val policy: PoolPolicy) {
    private val targets = HashMap<TargetId, TargetState>()
    private val order = compareBy<TargetState> { it.score }.thenBy { it.order }
    private val withCapacity = TreeSet(order)
    private val withHeadroom = TreeSet(order)
    private val ejected = ArrayList<TargetState>()
    private val poolLatency = LatencyModel()
    private var fastest: TargetState? = null
    private val router = TargetRouter(policy, poolLatency)
    private val urgentBacklogMs = policy.firstTokenMs * URGENT_BACKLOG_SHARE
    private val backlogBoundMs = policy.firstTokenMs * BACKLOG_SHARE
    private var nextOrder = 0
    private var rotation = 0L

    fun ids(): Set<TargetId> = targets.keys

    fun isEjected(id: TargetId): Boolean = ejected.any { it.id == id }

    fun limitOf(id: TargetId): Int = targets[id]?.limit?.current ?: 0

    fun inFlight(id: TargetId): Int = targets[id]?.inFlight ?: 0

    /** The sum of the concurrency limits of targets that are not leaving. */
    fun totalLimit(): Int = targets.values.sumOf { if (it.isLeaving) 0 else it.limit.current }

    /**
     * Whether [ticket] is predicted to finish by its deadline if it starts on [target] now. `true`
     * without [Feature.FEASIBILITY], and while [target] has too few samples for a prediction.
     */
    fun isFeasible(target: TargetState, ticket: Ticket, outputTokens: Int, nowMs: Long): Boolean {
        val needsMs = target.latency.predictMs(ticket.promptTokens, outputTokens)
        val isKnown = Feature.FEASIBILITY in policy && target.latency.samples >= MIN_SAMPLES
        return !isKnown || nowMs + needsMs <= ticket.deadlineAtMs
    }

    fun update(specs: List<TargetSpec>) {
        val listed = specs.associateBy { it.id }
        targets.values.filter { it.id !in listed }.forEach { unlist(it) }
        specs.forEach { spec ->
            val state = targets.getOrPut(spec.id) { newState(spec.id) }
            reorder(state) {
                state.isListed = true
                state.isLeaving = spec.isLeaving
            }
        }
    }

    /** The target [id], added as unlisted if the host list does not have it. */
    fun findOrAddUnlisted(id: TargetId): TargetState =
        targets.getOrPut(id) { newState(id).also { it.isListed = false } }

    /** Makes targets available again whose ejection has ended. */
    fun endEjections(nowMs: Long) {
        if (ejected.isEmpty()) return
        val ended = ejected.filter { it.ejectedUntilMs <= nowMs }
        ejected.removeAll(ended)
        ended.forEach { reorder(it) {} }
    }

    /** The lowest tier that some target has free capacity for, or `null` if there is none. */
    fun lowestTierWithCapacity(): Tier? = when {
        withHeadroom.isNotEmpty() -> Tier(Tier.LEAST_URGENT)
        withCapacity.isNotEmpty() -> headroomTier
        else -> null
    }

    /** The best target for [ticket], or `null` if none has free capacity for its tier. */
    fun choose(ticket: Ticket, outputTokens: Int): TargetState? {
        val eligible = eligibleFor(ticket.tier)
        if (eligible.isEmpty()) return null
        return router.choose(eligible, ticket, outputTokens) { targets[it] }
    }

    fun start(target: TargetState, ticket: Ticket, predictedMs: Double) {
        router.record(ticket, target.id)
        reorder(target) { target.start(predictedMs, ticket.promptTokens) }
    }

    /** Records that a request with [promptTokens] on the target [id] has its first token. */
    fun onPrefilled(id: TargetId, promptTokens: Int) {
        val target = targets[id] ?: return
        reorder(target) { target.onPrefilled(promptTokens) }
    }

    fun find(id: TargetId): TargetState? = targets[id]

    fun end(id: TargetId, predictedMs: Double, release: Release, nowMs: Long) {
        val target = targets[id] ?: return
        reorder(target) {
            target.end(predictedMs)
            learn(target, release, nowMs)
        }
        if (!target.isListed && target.inFlight == 0) remove(target)
    }

    /** The predicted time on the fastest target in milliseconds, or 0 if none is known. */
    fun fastestMs(promptTokens: Int, outputTokens: Int): Double =
        fastest?.latency?.predictMs(promptTokens, outputTokens) ?: 0.0

    private fun newState(id: TargetId): TargetState {
        val state = TargetState(id, nextOrder++, policy)
        if (poolLatency.samples > 0) state.latency.copyFrom(poolLatency)
        return state
    }

    private fun learn(target: TargetState, release: Release, nowMs: Long) {
        when (release.outcome) {
            ReleaseOutcome.FINISHED -> {
                target.onSuccess()
                target.latency.learn(release)
                target.limit.onSample(LatencyModel.betweenTokensMs(release), target.inFlight)
                poolLatency.learn(release)
                updateFastest(target)
            }

            ReleaseOutcome.FAILED, ReleaseOutcome.UNREACHABLE ->
                if (target.onFailure() && mayEject()) eject(target, nowMs)

            ReleaseOutcome.CANCELLED -> Unit
        }
    }

    private fun updateFastest(changed: TargetState) {
        val known = fastest
        when {
            known == null -> fastest = changed
            known === changed -> fastest = targets.values.minByOrNull { it.latency.nominalMs }
            changed.latency.nominalMs < known.latency.nominalMs -> fastest = changed
        }
    }

    private fun mayEject(): Boolean =
        Feature.EJECTION in policy && (ejected.size + 1) * 2 <= targets.size

    private fun eject(target: TargetState, nowMs: Long) {
        target.eject(nowMs)
        if (target !in ejected) ejected.add(target)
    }

    private fun unlist(state: TargetState) {
        reorder(state) { state.isListed = false }
        if (state.inFlight == 0) remove(state)
    }

    private fun remove(state: TargetState) {
        if (fastest === state) fastest = null
        targets.remove(state.id)
        withCapacity.remove(state)
        withHeadroom.remove(state)
        ejected.remove(state)
    }

    private fun eligibleFor(tier: Tier) = if (tier <= headroomTier) withCapacity else withHeadroom

    private inline fun reorder(target: TargetState, change: () -> Unit) {
        withCapacity.remove(target)
        withHeadroom.remove(target)
        change()
        target.refreshScore(if (Feature.PREDICTED_FINISH in policy) null else rotation++)
        if (!target.isListed || target.isLeaving || target in ejected) return
        val limit = target.limit.current
        val backlogMs = if (Feature.PREFILL_BOUND in policy) target.prefillBacklogMs else 0.0
        val hasCapacity = target.inFlight < limit && backlogMs <= urgentBacklogMs
        val hasHeadroom = target.inFlight < limit - headroom(limit) && backlogMs <= backlogBoundMs
        if (hasCapacity) withCapacity.add(target)
        if (hasHeadroom) withHeadroom.add(target)
    }

    private fun headroom(limit: Int): Int = if (Feature.HEADROOM in policy &&
        limit >= MIN_LIMIT_FOR_HEADROOM
    ) {
        limit / HEADROOM_DIVISOR
    } else {
        0
    }

    private companion object {
        const val MIN_LIMIT_FOR_HEADROOM = 4
        const val HEADROOM_DIVISOR = 4
        const val MIN_SAMPLES = 20
        const val URGENT_BACKLOG_SHARE = 0.5
        const val BACKLOG_SHARE = 0.15
        val headroomTier = Tier(2)
    }
}
