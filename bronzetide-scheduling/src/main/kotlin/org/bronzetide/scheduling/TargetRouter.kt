package org.bronzetide.scheduling

import java.util.NavigableSet
import org.bronzetide.model.TargetId

/** Chooses the target of a ticket among those with free capacity. */
internal class TargetRouter(private val policy: PoolPolicy, private val poolLatency: LatencyModel) {
    private val affinity = PrefixAffinity()

    /** Records that [target] has the prefix of [ticket]'s prompt in its cache. */
    fun record(ticket: Ticket, target: TargetId) = affinity.record(ticket.prefixHash, target)

    /** The best target of [eligible] for [ticket]; [find] looks up a target by its id. */
    fun choose(
        eligible: NavigableSet<TargetState>,
        ticket: Ticket,
        outputTokens: Int,
        find: (TargetId) -> TargetState?
    ): TargetState {
        val best = earliest(eligible, ticket, outputTokens)
        if (Feature.PACKING in policy && isLong(ticket, outputTokens)) {
            return packed(eligible, best, ticket, outputTokens)
        }
        val cached = affinity.targetOf(ticket.prefixHash)?.let(find)
        val usesCache = Feature.PREFIX_AFFINITY in policy &&
            cached != null &&
            cached in eligible &&
            cached.id !in ticket.avoid &&
            isCachePreferable(cached, best, ticket, outputTokens)
        return if (usesCache) cached else best
    }

    private fun earliest(
        eligible: NavigableSet<TargetState>,
        ticket: Ticket,
        outputTokens: Int
    ): TargetState {
        val candidates = eligible.asSequence().filter { it.id !in ticket.avoid }.take(CANDIDATES)
        if (Feature.PREDICTED_FINISH !in policy) return candidates.firstOrNull() ?: eligible.first()
        return candidates.minByOrNull { it.finishMs(ticket, outputTokens) } ?: eligible.first()
    }

    /** The most loaded target on which a long ticket finishes about as early as on [best]. */
    private fun packed(
        eligible: NavigableSet<TargetState>,
        best: TargetState,
        ticket: Ticket,
        outputTokens: Int
    ): TargetState {
        val boundMs = best.finishMs(ticket, outputTokens) * PACKING_TOLERANCE
        return eligible.descendingSet().asSequence().take(PACKING_TRIES)
            .firstOrNull { it.id !in ticket.avoid && it.finishMs(ticket, outputTokens) <= boundMs }
            ?: best
    }

    private fun isLong(ticket: Ticket, outputTokens: Int): Boolean {
        val predictedMs = poolLatency.predictMs(ticket.promptTokens, outputTokens)
        return poolLatency.samples >= MIN_SAMPLES &&
            predictedMs > poolLatency.typicalMs * LONG_FACTOR
    }

    private fun isCachePreferable(
        cached: TargetState,
        best: TargetState,
        ticket: Ticket,
        outputTokens: Int
    ): Boolean {
        val savedMs = ticket.promptTokens * cached.latency.prefillMsPerToken
        val cachedMs = cached.score + cached.latency.predictMs(0, outputTokens)
        val bestMs = best.score + best.latency.predictMs(0, outputTokens) + savedMs
        return cachedMs <= bestMs
    }

    private fun TargetState.finishMs(ticket: Ticket, outputTokens: Int): Double =
        prefillBacklogMs + latency.predictMs(ticket.promptTokens, outputTokens)

    private companion object {
        const val CANDIDATES = 6
        const val MIN_SAMPLES = 20
        const val LONG_FACTOR = 4
        const val PACKING_TOLERANCE = 1.5
        const val PACKING_TRIES = 8
    }
}
