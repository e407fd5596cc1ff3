package org.bronzetide.scheduling.fleet

import kotlin.random.Random

/**
 * What one host knows of the other hosts that send to the same targets: their number, what they
 * have to send, and how old such knowledge is.
 */
internal class FleetView(private val random: Random) {
    /** The number of hosts, this one included. */
    var hostCount: Int = 1

    /** The requests of all other hosts that run or wait, by service and rank. */
    var demands: Map<String, Map<Int, Int>> = emptyMap()
        private set

    /** Decides whether a fraction of a slot counts as a whole one; differs between hosts. */
    var shareRounding = random.nextDouble()
        private set

    /** Moving averages of the requests that other hosts have at a target, by service. */
    private val meanPeerCounts = HashMap<String, Double>()

    /** The age of loads and demands when they arrive, in milliseconds. */
    private var updateAgeMs = 0L

    /** Whether the known loads are recent enough to choose the best target by them. */
    val isSmall: Boolean get() = hostCount <= MAX_SMALL_FLEET_HOSTS

    /** Records that the loads of [targets], by service, were updated; they are [ageMs] old. */
    fun onLoads(targets: Map<String, List<TargetLoad>>, ageMs: Long) {
        updateAgeMs = ageMs
        targets.forEach { (service, loads) ->
            val mean = loads.sumOf { it.peerCount }.toDouble() / loads.size
            val known = meanPeerCounts[service] ?: mean
            meanPeerCounts[service] = known + (mean - known) * MEAN_COUNT_GAIN
        }
    }

    /** Replaces the demands of all other hosts together. */
    fun onDemands(demands: Map<String, Map<Int, Int>>) {
        this.demands = demands
        shareRounding = random.nextDouble()
    }

    /** How many requests are in progress at the targets of [service], whose runs take [runMs]. */
    fun expectedCounts(service: String, runMs: Double, nowMs: Long): ExpectedCounts {
        if (isSmall) return ExpectedCounts.AsKnown
        return ExpectedCounts.ByAge(meanPeerCounts[service] ?: 0.0, runMs, nowMs)
    }

    /** The requests of [runMs] ms that a slot serves while a demand is known, at least one. */
    fun runsPerUpdate(runMs: Double): Double = if (isSmall) 1.0 else maxOf(1.0, updateAgeMs / runMs)

    /**
     * The slots that requests of [rank] leave free at each of [usable], the engines of [service],
     * for more urgent ones that all other hosts together have. In a large fleet, a slot that is
     * taken is known too late for those to find another one, so without any left they would wait
     * for a run to end.
     */
    fun reservedSlots(service: String, rank: Int, usable: List<TargetLoad>): Int {
        if (isSmall || usable.any { !it.spec.isEngine }) return 0
        val moreUrgent = demands[service].orEmpty().filterKeys { it < rank }.values.sum()
        val isInUse = moreUrgent >= usable.sumOf { it.spec.slots } * MIN_URGENT_SHARE
        return if (isInUse) 1 else 0
    }

    private companion object {
        /** Their exchange of loads takes 50 ms, which is short for most runs. */
        const val MAX_SMALL_FLEET_HOSTS = 16

        /** Averages over a few updates: hosts that follow each one start and stop together. */
        const val MEAN_COUNT_GAIN = 0.3

        /** With fewer urgent requests than this share of the slots, reserved ones stay unused. */
        const val MIN_URGENT_SHARE = 0.5
    }
}
