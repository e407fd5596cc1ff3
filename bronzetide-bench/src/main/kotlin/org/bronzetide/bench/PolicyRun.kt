package org.bronzetide.bench

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.cli.DevCluster
import org.bronzetide.cli.OperatorClient
import org.bronzetide.model.ConfigObject
import org.bronzetide.model.Intent
import org.bronzetide.model.JsonFormats
import org.bronzetide.node.SchedulingPolicies
import org.bronzetide.platform.PlatformClients

/** The faults and changes that an experiment applies to a cluster while the load runs. */
internal typealias Disturbance = suspend CoroutineScope.(DevCluster, Findings) -> Unit

/** Measurements and violations recorded by a [Disturbance]. */
internal class Findings {
    /** Measured values by the name of their bound. */
    val measurements = ConcurrentHashMap<String, Double>()

    /** Descriptions of violated invariants. */
    val violations = ConcurrentLinkedQueue<String>()
}

/** The setup of an experiment, which runs under one policy after another. */
internal data class Scenario(
    val fleet: FleetProfile,
    val arrivals: List<Arrival>,
    val rules: Map<String, ConfigObject.RuleObject> = emptyMap(),
    val nodeCount: Int = 6,
    val usesProxies: Boolean = false,
    val disturbance: Disturbance = { _, _ -> }
)

/** The result of one run: its report and what the bounds are computed from. */
internal class PolicyResult(
    val report: PolicyReport,
    val outcomes: List<Outcome>,
    val violations: List<String>,
    val measurements: Map<String, Double>
)

/** Runs a scenario under [policy], with the scheduler features [disabledFeatures] off. */
internal class PolicyRun(private val policy: String, private val disabledFeatures: List<String>) {
    /**
     * Starts a cluster, applies the configuration, runs the load and drains all nodes.
     *
     * @throws IllegalArgumentException if the configuration is refused.
     * @throws IllegalStateException if some node does not apply the configuration in time.
     */
    suspend fun run(scenario: Scenario): PolicyResult {
        val cluster = DevCluster(
            scenario.fleet.engines,
            SERVICES,
            scenario.nodeCount,
            scenario.usesProxies
        ) { it.copy(policy = policy, without = disabledFeatures) }
        cluster.use {
            PlatformClients.create().use { http ->
                cluster.start()
                val operator = OperatorClient(http, cluster.url(0), DevCluster.OPERATOR_KEY)
                configure(cluster, operator, scenario)
                return measure(cluster, LoadRunner(http, cluster::url), scenario)
            }
        }
    }

    private suspend fun configure(
        cluster: DevCluster,
        operator: OperatorClient,
        scenario: Scenario
    ) {
        val named = scenario.rules.values.mapNotNull { it.caller }
        val callers = (scenario.arrivals.map { it.caller } + named).distinct()
        val intent = BenchIntent.of(callers, scenario.fleet.speedup, scenario.rules)
        val text = JsonFormats.settings.encodeToString(Intent.serializer(), intent)
        val response = operator.plan(text)
        val plan = requireNotNull(response.plan) { "intent refused: ${response.faults}" }
        val version = operator.confirm(plan).version
        withTimeoutOrNull(PROPAGATION_TIMEOUT_MS) {
            while (cluster.nodes.any { it.configurationVersion < version }) delay(POLL_MS)
        } ?: error("not all nodes applied the configuration before the propagation timeout")
        delay(SETTLE_MS)
    }

    private suspend fun measure(
        cluster: DevCluster,
        runner: LoadRunner,
        scenario: Scenario
    ): PolicyResult {
        val findings = Findings()
        val bytesBefore = cluster.nodes.sumOf { it.peerBytesSent }
        val cpuBefore = ProcessMetrics.controlCpuNanos()
        val startedNanos = System.nanoTime()
        val outcomes = coroutineScope {
            val disturbance =
                launch(Dispatchers.Default) { scenario.disturbance(this, cluster, findings) }
            runner.run(scenario.arrivals).also { disturbance.join() }
        }
        val seconds = (System.nanoTime() - startedNanos) / 1e9
        val nodeSeconds = cluster.nodes.size * seconds
        val bytes = (cluster.nodes.sumOf { it.peerBytesSent } - bytesBefore).coerceAtLeast(0)
        val cpu = (ProcessMetrics.controlCpuNanos() - cpuBefore).coerceAtLeast(0)
        System.err.println(
            "$policy: load of ${scenario.arrivals.size} requests took ${"%.1f".format(seconds)} s"
        )
        val nodeShedInversions = cluster.nodes.sumOf { it.shedInversionCount() }
        val violations = drainNodes(cluster)
        System.err.println(
            "$policy: settled after ${"%.1f".format(
                (System.nanoTime() - startedNanos) / 1e9
            )} s"
        )
        val scorer =
            Scorer(outcomes, cluster.engines, cluster.services, cluster.store, startedNanos)
        val scored = scorer.report(bytes / nodeSeconds, cpu / 1e9 / nodeSeconds)
        val report = if (policy ==
            SchedulingPolicies.BRONZETIDE
        ) {
            scored.copy(shedInversions = nodeShedInversions)
        } else {
            scored
        }
        val found = violations + findings.violations + invariants(report)
        return PolicyResult(report, outcomes, found, findings.measurements)
    }

    private suspend fun drainNodes(cluster: DevCluster): List<String> {
        val violations = ArrayList<String>()
        cluster.nodes.toList().forEach { node ->
            val isDone = withTimeoutOrNull(DRAIN_TIMEOUT_MS) { node.drain() } ?: false
            if (!isDone) violations += "node ${node.id} did not drain: ${node.requestCount} inside"
        }
        return violations
    }

    private fun invariants(report: PolicyReport): List<String> = buildList {
        if (policy != SchedulingPolicies.BRONZETIDE) return@buildList
        if (report.duplicateDispatches >
            0
        ) {
            add("${report.duplicateDispatches} duplicate dispatches")
        }
        if (report.falseNotRun > 0) add("${report.falseNotRun} false NotRun")
        if (report.shedInversions > 0) add("${report.shedInversions} shed inversions")
        if (report.incompleteAnswers > 0) add("${report.incompleteAnswers} incomplete answers")
        if (report.ledgerMismatches > 0) add("${report.ledgerMismatches} ledger mismatches")
    }

    private companion object {
        const val SERVICES = 3
        const val PROPAGATION_TIMEOUT_MS = 10_000L
        const val POLL_MS = 10L
        const val SETTLE_MS = 500L
        const val DRAIN_TIMEOUT_MS = 15_000L
    }
}
