package org.bronzetide.bench

import kotlinx.coroutines.delay
import org.bronzetide.cli.DevCluster
import org.bronzetide.model.ConfigObject

/** Experiments on scheduling and admission under load. */
internal object LoadExperiments {
    private const val LOAD_MS = 6_000.0
    private const val STEADY_LOAD = 0.7
    private const val FLOOD_LOAD = 10.0
    private val fleet = FleetProfile(speedup = 4.0)
    private val smallFleet = FleetProfile(speedup = 3.0, engineCount = 6)
    private val callers = mapOf(
        "osijek" to 3.0,
        "vukovar" to 2.0,
        "desk-a" to 1.0,
        "desk-b" to 1.0,
        "desk-c" to 1.0
    )

    /** The experiments, in the order of `--list`. */
    val all = listOf(
        Experiment("steady", "both users' mix at 70% of capacity", ::steady) { steadyBounds(it) },
        Experiment(
            "flood-low",
            "the lowest tier at 10 times capacity",
            ::floodLow,
            ::steady
        ) { comparison ->
            (1..3).map { tier ->
                Bound.atMost(
                    "tier $tier points lost against steady",
                    1.0,
                    pointsLost(comparison, tier)
                )
            }
        },
        Experiment(
            "flood-urgent",
            "the most urgent tier from one caller at 10 times capacity",
            ::floodUrgent,
            { steadyOn(smallFleet, it, urgentRules) }
        ) { floodUrgentBounds(it) },
        Experiment(
            "big-callers",
            "two callers ask for 20 times the rest",
            ::bigCallers,
            ::smallAlone
        ) {
            bigCallerBounds(it)
        },
        Experiment(
            "mixed-lengths",
            "1 in 20 requests is 100 times longer",
            ::mixedLengths,
            ::shortOnly
        ) {
            mixedBounds(it)
        },
        Experiment(
            "slow-engine",
            "a third of the targets at a quarter of their speed, midway",
            ::slowEngine,
            ::slowReference
        ) {
            slowBounds(it)
        }
    )

    /** The mix of both users at [STEADY_LOAD] times the capacity of the fleet. */
    fun steady(seed: Long): Scenario = steadyOn(fleet, seed)

    private fun steadyOn(
        fleet: FleetProfile,
        seed: Long,
        rules: Map<String, ConfigObject.RuleObject> = emptyMap()
    ) = Scenario(
        fleet,
        Workload(
            seed,
            fleet
        ).addStream(RequestKind.mix, STEADY_LOAD, callers, 0.0, LOAD_MS).arrivals(),
        rules
    )

    private fun steadyBounds(comparison: Experiment.Comparison): List<Bound> {
        val report = comparison.result.report
        val tiers = (1..3).map { tier ->
            Bound.atLeast("tier $tier in time", 0.995, tierShare(comparison.result, tier))
        }
        val wasted = report.wastedPrefillTokens.toDouble() / report.prefillTokens.coerceAtLeast(1)
        return tiers + Bound.atMost("wasted prefill share", 0.01, wasted)
    }

    private fun floodLow(seed: Long) = Scenario(
        fleet,
        Workload(seed, fleet)
            .addStream(RequestKind.mix, STEADY_LOAD, callers, 0.0, LOAD_MS)
            .addStream(listOf(RequestKind.REPORT), FLOOD_LOAD, callers, 0.0, LOAD_MS)
            .arrivals()
    )

    private val urgentRules = mapOf(
        "flood-limit" to ConfigObject.RuleObject(
            caller = FLOOD_CALLER,
            pool = DevCluster.MODEL_POOL,
            tokensPerSecond = 4_000.0,
            concurrent = 12
        )
    )

    private fun floodUrgent(seed: Long): Scenario {
        val flood = RequestKind.EXPLANATION.copy(tier = 1)
        val workload = Workload(seed, smallFleet)
            .addStream(RequestKind.mix, STEADY_LOAD, callers, 0.0, LOAD_MS)
            .addStream(listOf(flood), FLOOD_LOAD, mapOf(FLOOD_CALLER to 1.0), 0.0, LOAD_MS)
        return Scenario(smallFleet, workload.arrivals(), urgentRules)
    }

    private fun floodUrgentBounds(comparison: Experiment.Comparison): List<Bound> {
        val others = inTimeShare(comparison.result) {
            it.arrival.tier == 1 && it.arrival.caller != FLOOD_CALLER
        }
        val before = tierShare(comparison.reference!!, 1)
        val lower = (2..4).map { tier ->
            val kept = tierShare(comparison.result, tier) / tierShare(comparison.reference, tier)
            Bound.atLeast("tier $tier kept of steady", 0.8, kept)
        }
        return lower +
            Bound.atMost("other callers' points lost in tier 1", 2.0, (before - others) * 100)
    }

    private fun bigCallers(seed: Long) = Scenario(fleet, bigAndSmall(seed).arrivals())

    private fun smallAlone(seed: Long): Scenario =
        Scenario(fleet, bigAndSmall(seed).arrivals().filter { it.caller in smallCallers })

    private fun bigAndSmall(seed: Long): Workload {
        val loadPerCaller = 0.03
        return Workload(seed, fleet)
            .addStream(
                RequestKind.mix,
                loadPerCaller * smallCallers.size,
                smallCallers.associateWith { 1.0 },
                0.0,
                LOAD_MS
            )
            .addStream(
                RequestKind.mix,
                loadPerCaller * 20 * 2,
                mapOf("big-1" to 1.0, "big-2" to 1.0),
                0.0,
                LOAD_MS
            )
    }

    private fun bigCallerBounds(comparison: Experiment.Comparison): List<Bound> {
        val together = inTimeShare(comparison.result) { it.arrival.caller in smallCallers }
        val alone = inTimeShare(comparison.reference!!) { true }
        return listOf(Bound.atMost("small callers' points lost", 1.0, (alone - together) * 100))
    }

    private val short = RequestKind("short", 2, 40..60, 8..12, 6_000, 0.95)
    private val long = RequestKind("long", 2, 4_000..6_000, 800..1_000, 120_000, 0.05)

    private fun mixedLengths(seed: Long) = Scenario(
        fleet,
        Workload(seed, fleet).addStream(listOf(short, long), 0.6, callers, 0.0, LOAD_MS).arrivals()
    )

    private fun shortOnly(seed: Long): Scenario {
        val mixed = mixedLengths(seed)
        return mixed.copy(arrivals = mixed.arrivals.filter { it.kind.name == short.name })
    }

    private fun mixedBounds(comparison: Experiment.Comparison): List<Bound> {
        val with = comparison.result.report.firstTokenMsByKind.getValue(short.name).p95
        val without = comparison.reference!!.report.firstTokenMsByKind.getValue(short.name).p95
        return listOf(
            Bound.atMost(
                "short requests' p95 first token against alone",
                1.5,
                with / without
            )
        )
    }

    private const val SLOW_LOAD = 1.0

    private fun slowEngine(seed: Long) = Scenario(
        fleet,
        Workload(
            seed,
            fleet
        ).addStream(RequestKind.mix, SLOW_LOAD, callers, 0.0, LOAD_MS).arrivals(),
        disturbance = { cluster, _ ->
            delay((LOAD_MS / 2).toLong())
            cluster.engines.take(SLOWED_ENGINES).forEach { it.slowdown = 4.0 }
        }
    )

    /**
     * The same arrivals on a fleet whose engines all slow down midway, to the total capacity that
     * remains in [slowEngine].
     */
    private fun slowReference(seed: Long): Scenario {
        val scenario = slowEngine(seed)
        return scenario.copy(disturbance = { cluster, _ ->
            delay((LOAD_MS / 2).toLong())
            val remaining = remainingShare()
            cluster.engines.forEach { it.slowdown = 1 / remaining }
        })
    }

    private fun remainingShare(): Double {
        val speeds = fleet.engines.map { it.prefillTokensPerSecond }
        val lost = speeds.take(SLOWED_ENGINES).sum() * 0.75
        return (speeds.sum() - lost) / speeds.sum()
    }

    private fun slowBounds(comparison: Experiment.Comparison): List<Bound> {
        fun inTimeSeconds(result: PolicyResult) = result.outcomes.filter { it.isInTime }
            .sumOf { it.arrival.kind.engineSeconds }
        val kept = inTimeSeconds(comparison.result) / inTimeSeconds(comparison.reference!!)
        return listOf(Bound.atLeast("goodput of the remaining capacity's", 0.95, kept))
    }

    private fun pointsLost(comparison: Experiment.Comparison, tier: Int): Double =
        (tierShare(comparison.reference!!, tier) - tierShare(comparison.result, tier)) * 100

    private fun tierShare(result: PolicyResult, tier: Int): Double =
        inTimeShare(result) { it.arrival.tier == tier }

    private fun inTimeShare(result: PolicyResult, filter: (Outcome) -> Boolean): Double {
        val chosen = result.outcomes.filter(filter)
        return if (chosen.isEmpty()) 1.0 else chosen.count { it.isInTime }.toDouble() / chosen.size
    }

    private const val FLOOD_CALLER = "flooder"
    private const val SLOWED_ENGINES = 4
    private val smallCallers = listOf("desk-a", "desk-b", "desk-c")
}
