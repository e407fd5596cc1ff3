package org.bronzetide.bench

import org.bronzetide.node.SchedulingPolicies

/** A named experiment: a scenario, an optional reference scenario and acceptance bounds. */
internal class Experiment(
    val name: String,
    val summary: String,
    private val createScenario: (seed: Long) -> Scenario,
    /** The scenario of the run that [bounds] compare with, under the bronzetide policy only. */
    private val createReference: ((seed: Long) -> Scenario)? = null,
    private val bounds: (Comparison) -> List<Bound>
) {
    /**
     * Warms up, runs the scenario under each policy and returns the report; violations and bounds
     * refer to the bronzetide policy.
     */
    suspend fun run(
        seed: Long,
        disabledFeatures: List<String>,
        bronzetideOnly: Boolean
    ): ExperimentReport {
        val scenario = createScenario(seed)
        PolicyRun(SchedulingPolicies.BRONZETIDE, disabledFeatures).run(warmUp(scenario))
        val policies =
            if (bronzetideOnly) listOf(SchedulingPolicies.BRONZETIDE) else SchedulingPolicies.all
        val results = policies.associateWith { policy ->
            PolicyRun(
                policy,
                if (policy == SchedulingPolicies.BRONZETIDE) disabledFeatures else emptyList()
            )
                .run(scenario)
        }
        val result = results.getValue(SchedulingPolicies.BRONZETIDE)
        val referenceResult = createReference?.let {
            PolicyRun(SchedulingPolicies.BRONZETIDE, disabledFeatures).run(it(seed))
        }
        return ExperimentReport(
            name = name,
            seed = seed,
            nodeCount = scenario.nodeCount,
            targetCount = scenario.fleet.engineCount,
            speedup = scenario.fleet.speedup,
            without = disabledFeatures,
            policies = results.mapValues { it.value.report },
            violations = result.violations,
            bounds = bounds(Comparison(result, referenceResult, scenario))
        )
    }

    private fun warmUp(scenario: Scenario): Scenario = scenario.copy(
        arrivals = scenario.arrivals.filter { it.atMs < WARM_UP_MS },
        usesProxies = false,
        disturbance = { _, _ -> }
    )

    /** The result of the bronzetide policy beside the reference run, if there is one. */
    class Comparison(val result: PolicyResult, val reference: PolicyResult?, val scenario: Scenario)

    private companion object {
        const val WARM_UP_MS = 2_500.0
    }
}
