package org.bronzetide.scheduling.fleet

import kotlin.random.Random

/** Selects the target for a request among those that have a free slot, by predicted latency. */
internal class TargetSelector(
    private val zone: String,
    private val random: Random,
    private val engine: EngineLatencyModel,
    private val fleet: FleetView
) {
    /** Returns the best of [candidates], or of a sample of them in a large fleet. */
    fun select(
        candidates: List<TargetLoad>,
        counts: ExpectedCounts,
        ticket: FleetTicket,
        nowMs: Long
    ): TargetLoad = sampleOf(candidates).minBy {
        score(it, counts, ticket, nowMs, random.nextDouble())
    }

    /** Whether the response to [ticket] is expected to end by its deadline if it is sent now. */
    fun canEndInTime(load: TargetLoad, ticket: FleetTicket, nowMs: Long): Boolean {
        if (!load.spec.isEngine) return true
        val responseMs = ticket.expectedEvents * engine.msPerEvent * load.slowdown.current
        val firstEventMs = engine.firstEventMs(load, ticket.promptTokens, nowMs)
        return nowMs + firstEventMs + responseMs <= ticket.endByMs
    }

    /** A random sample if there are many hosts, which would else all choose the same target. */
    private fun sampleOf(candidates: List<TargetLoad>): List<TargetLoad> =
        if (isSampled(candidates)) {
            candidates.shuffled(random).take(SAMPLE_SIZE)
        } else {
            candidates
        }

    /** Whether only a random sample of [candidates] is compared. */
    fun isSampled(candidates: List<TargetLoad>): Boolean =
        !fleet.isSmall && candidates.size > SAMPLE_SIZE

    /**
     * Scores [load] for [ticket], lower is better: the predicted time in milliseconds on an engine,
     * otherwise the occupancy with this ticket times the slowdown. Random [jitter] from 0 to 1
     * breaks ties.
     */
    fun score(
        load: TargetLoad,
        counts: ExpectedCounts,
        ticket: FleetTicket,
        nowMs: Long,
        jitter: Double
    ): Double {
        val otherZoneMs = if (load.spec.availabilityZone == zone) 0.0 else OTHER_ZONE_MS
        val count = counts.of(load)
        val occupancy = count / load.spec.slots
        if (!load.spec.isEngine) {
            val withThisOne = (count + 1.0) / load.spec.slots
            return withThisOne * load.slowdownAt(nowMs) + jitter * TIE_BREAK_JITTER
        }
        val outputMs = ticket.expectedEvents * engine.msPerEvent * load.slowdown.current
        val predictedMs = engine.firstEventMs(load, ticket.promptTokens, nowMs) +
            outputMs * OUTPUT_WEIGHT * (1 + occupancy) + otherZoneMs
        return predictedMs * (1 + jitter * TIE_BREAK_JITTER)
    }

    private companion object {
        /** With more, hosts that know the same old loads choose the same few targets. */
        const val SAMPLE_SIZE = 2
        const val OTHER_ZONE_MS = 2.0
        const val TIE_BREAK_JITTER = 0.1
        const val OUTPUT_WEIGHT = 0.2
    }
}
