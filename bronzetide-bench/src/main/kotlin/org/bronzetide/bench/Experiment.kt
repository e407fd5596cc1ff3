package org.bronzetide.bench

import org.bronzetide.node.SchedulingPolicies

/** A named experiment with its scenario and its targets. */
internal class Experiment(
    val name: String,
    val summary: String,
    private val scenario: (seed: Long) -> Scenario,
    /** The scenario that a target is compared with, run by bronzetide only. */
    private val reference: ((seed: Long) -> Scenario)? = null,
    private val bounds: (Comparison) -> List<Bound>
) {
    suspend fun run(seed: Long, without: List<String>, onlyOurs: Boolean): ExperimentReport {
        val set = scenario(seed)
        PolicyRun(SchedulingPolicies.BRONZETIDE, without).run(warmUp(set))
        val policies =
            if (onlyOurs) listOf(SchedulingPolicies.BRONZETIDE) else SchedulingPolicies.all
        val results = policies.associateWith { policy ->
            PolicyRun(
                policy,
                if (policy == SchedulingPolicies.BRONZETIDE) without else emptyList()
            ).run(set)
        }
        val ours = results.getValue(SchedulingPolicies.BRONZETIDE)
        val compared = reference?.let {
            PolicyRun(SchedulingPolicies.BRONZETIDE, without).run(it(seed))
        }
        return ExperimentReport(
            name = name,
            seed = seed,
            nodeCount = set.nodeCount,
            targetCount = set.fleet.engineCount,
            speedup = set.fleet.speedup,
            without = without,
            policies = results.mapValues { it.value.report },
            violations = ours.violations,
            bounds = bounds(Comparison(ours, compared, set))
        )
    }

    private fun warmUp(set: Scenario): Scenario = set.copy(
        arrivals = set.arrivals.filter { it.atMs < WARM_UP_MS },
        hasRelays = false,
        disturbance = { _, _ -> }
    )

    /** A run beside its reference run. */
    class Comparison(val ours: PolicyResult, val reference: PolicyResult?, val scenario: Scenario)

    private companion object {
        const val WARM_UP_MS = 2_500.0
    }
}
