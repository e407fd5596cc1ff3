package org.bronzetide.bench

import java.util.concurrent.ConcurrentLinkedQueue
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.cli.DevCluster
import org.bronzetide.cli.OperatorClient
import org.bronzetide.model.ConfigObject
import org.bronzetide.model.Intent
import org.bronzetide.model.JsonFormats
import org.bronzetide.platform.PlatformClients
import org.bronzetide.standins.StoreFault

/** Experiments that inject failures and configuration changes under load. */
internal object FaultExperiments {
    private val fleet = FleetProfile(speedup = 3.0)
    private val callers = mapOf("osijek" to 3.0, "desk-a" to 1.0, "desk-b" to 1.0)
    private const val LATE_DISPATCH_LIMIT_MS = 2_000.0
    private const val PROPAGATION_LIMIT_MS = 2_000.0
    private const val NODE_READY_LIMIT_MS = 5_000.0
    private const val IDLE_TIMEOUT_MS = 2_000.0

    /** All experiments of this kind, in the order of `--list`. */
    val all = listOf(
        Experiment("target-leaves", "targets leave and come", ::targetLeaves) { comparison ->
            listOf(atMost(comparison, DISPATCH_AFTER_MS, LATE_DISPATCH_LIMIT_MS))
        },
        Experiment("store-outage", "Object API down, slow, losing answers", ::storeOutage) {
            listOf(
                atMost(it, REVERTS, 0.0),
                atMost(it, NEW_NODE_MS, NODE_READY_LIMIT_MS),
                Bound.atMost("requests that failed", 0.0, failureCount(it))
            )
        },
        Experiment("silent-links", "open connections go silent", ::stalledLinks, ::proxiedLinks) {
            listOf(
                Bound.atMost("answers that are not whole", 0.0, failureCount(it)),
                Bound.atMost("added p99 in ms", IDLE_TIMEOUT_MS + 1_000, addedP99Ms(it))
            )
        },
        Experiment("rolling-restart", "every node replaced in turn", ::rollingRestart) {
            listOf(Bound.atMost("requests cut off", 0.0, truncatedCount(it)))
        },
        Experiment("config-storm", "operators race, nodes restart", ::configStorm) {
            listOf(
                atMost(it, PROPAGATION_MS, PROPAGATION_LIMIT_MS),
                atMost(it, REVERTS, 0.0),
                atMost(it, LOST_CHANGES, 0.0)
            )
        }
    )

    private fun scenario(
        seed: Long,
        load: Double,
        lengthMs: Double,
        deadlineFactor: Int = 1
    ): Scenario {
        val kinds = RequestKind.mix.map { it.copy(deadlineMs = it.deadlineMs * deadlineFactor) }
        val workload = Workload(seed, fleet).addStream(kinds, load, callers, 0.0, lengthMs)
        return Scenario(fleet, workload.arrivals())
    }

    private fun targetLeaves(seed: Long) = scenario(seed, load = 0.4, lengthMs = 10_000.0).copy(
        disturbance = { cluster, findings ->
            var latestMs = 0.0
            for (leaving in listOf(setOf(0, 1), setOf(5), setOf(8, 9, 10))) {
                delay(600)
                setLeaving(cluster, leaving)
                val publishedNanos = System.nanoTime()
                delay(2_500)
                leaving.forEach { index ->
                    val lastNanos =
                        cluster.engines[index].receivedAtNanos.values.maxOrNull() ?: publishedNanos
                    latestMs = maxOf(latestMs, (lastNanos - publishedNanos) / 1e6)
                }
                setLeaving(cluster, emptySet())
            }
            findings.measurements[DISPATCH_AFTER_MS] = latestMs
        }
    )

    private fun setLeaving(cluster: DevCluster, indexes: Set<Int>) =
        cluster.hostList.update { list ->
            val names = indexes.map { "engine-$it" }
            list.copy(targets = list.targets.map { it.copy(isLeaving = it.id in names) })
        }

    private fun storeOutage(seed: Long) =
        scenario(seed, load = 0.3, lengthMs = 23_000.0, deadlineFactor = 3).copy(
            disturbance = { cluster, findings ->
                val watcher = watchVersions(cluster, findings)
                delay(1_000)
                cluster.store.fault = StoreFault.Unavailable
                delay(2_000)
                findings.measurements[NEW_NODE_MS] = startNode(cluster, index = 6)
                delay(4_000)
                cluster.store.fault = StoreFault.Slow(3_000)
                delay(6_500)
                cluster.store.fault = StoreFault.LostResponses
                delay(6_500)
                cluster.store.fault = StoreFault.None
                delay(1_500)
                watcher.cancel()
            }
        )

    /**
     * Starts a node and returns the time until it is ready with the newest configuration, in ms;
     * [Double.MAX_VALUE] if it is not within [NODE_START_TIMEOUT_MS].
     */
    private suspend fun startNode(cluster: DevCluster, index: Int): Double {
        val newest = cluster.nodes.maxOf { it.configurationVersion }
        val startedNanos = System.nanoTime()
        val node = cluster.addNode(index)
        withTimeoutOrNull(NODE_START_TIMEOUT_MS) { while (!node.isReady) delay(POLL_INTERVAL_MS) }
        val isCurrent = node.isReady && node.configurationVersion >= newest
        return if (isCurrent) (System.nanoTime() - startedNanos) / 1e6 else Double.MAX_VALUE
    }

    private fun CoroutineScope.watchVersions(cluster: DevCluster, findings: Findings) = launch {
        findings.measurements[REVERTS] = 0.0
        val seen = HashMap<String, Long>()
        while (isActive) {
            cluster.nodes.toList().forEach { node ->
                val version = node.configurationVersion
                val before = seen.put(node.id.value, version) ?: 0
                if (version < before) findings.measurements.merge(REVERTS, 1.0, Double::plus)
            }
            delay(POLL_INTERVAL_MS)
        }
    }

    private fun proxiedLinks(seed: Long) =
        scenario(seed, load = 0.3, lengthMs = 8_000.0, deadlineFactor = 8).copy(usesProxies = true)

    private fun stalledLinks(seed: Long) = proxiedLinks(seed).copy(
        disturbance = { cluster, _ ->
            repeat(2) {
                delay(2_500)
                cluster.proxies.forEach { it.stallOpenConnections() }
            }
        }
    )

    private fun addedP99Ms(comparison: Experiment.Comparison): Double {
        fun p99(result: PolicyResult): Double {
            val sorted = result.outcomes.map { it.totalMs }.sorted()
            return sorted[(sorted.size * 99) / 100]
        }
        return p99(comparison.result) - p99(comparison.reference!!)
    }

    private fun rollingRestart(seed: Long) = scenario(seed, load = 0.4, lengthMs = 14_000.0).copy(
        disturbance = { cluster, findings ->
            delay(1_000)
            cluster.nodes.toList().forEachIndexed { index, old ->
                val replacement = cluster.addNode(index)
                withTimeoutOrNull(NODE_START_TIMEOUT_MS) {
                    while (!replacement.isReady) delay(POLL_INTERVAL_MS)
                }
                cluster.nodes.remove(old)
                delay(BALANCER_UPDATE_MS)
                if (!old.drain()) findings.violations += "${old.id} did not drain"
                old.close()
            }
        }
    )

    private fun configStorm(seed: Long) = scenario(seed, load = 0.2, lengthMs = 12_000.0).copy(
        disturbance = { cluster, findings -> ConfigurationStorm(cluster, findings).run(this) }
    )

    /** Operators that confirm concurrent changes while nodes are replaced. */
    private class ConfigurationStorm(
        private val cluster: DevCluster,
        private val findings: Findings
    ) {
        private val accepted = ConcurrentLinkedQueue<String>()
        private val propagationMs = ConcurrentLinkedQueue<Double>()

        suspend fun run(scope: CoroutineScope) {
            val watcher = with(FaultExperiments) { scope.watchVersions(cluster, findings) }
            PlatformClients.create().use { http ->
                coroutineScope {
                    repeat(OPERATOR_COUNT) { operator ->
                        launch {
                            repeat(CHANGES_PER_OPERATOR) {
                                change(
                                    OperatorClient(http, url(operator + it), OPERATOR_KEY),
                                    operator,
                                    it
                                )
                            }
                        }
                    }
                    launch { replaceNodes() }
                }
            }
            watcher.cancel()
            findings.measurements[PROPAGATION_MS] = propagationMs.maxOrNull() ?: 0.0
            val storedObjects = JsonFormats.wire.decodeFromString(
                org.bronzetide.model.Configuration.serializer(),
                cluster.store.storedValue("bronzetide/config").orEmpty()
            ).objects.keys
            findings.measurements[LOST_CHANGES] = accepted.count { it !in storedObjects }.toDouble()
            if (accepted.isEmpty()) findings.violations += "no change was accepted"
        }

        private fun url(index: Int) = cluster.url(index)

        private suspend fun change(operator: OperatorClient, operatorIndex: Int, number: Int) {
            val name = "storm-$operatorIndex-$number"
            val contested = ConfigObject.TierObject(
                4,
                deadlineMs =
                50_000L + operatorIndex * 100 + number
            )
            val intent = Intent(
                tiers = if (number % 2 == 0) mapOf("contested" to contested) else emptyMap(),
                rules = mapOf(
                    name to ConfigObject.RuleObject(pool = DevCluster.MODEL_POOL, deadlineMs = null)
                )
            )
            val text = JsonFormats.settings.encodeToString(Intent.serializer(), intent)
            runCatching {
                val plan = operator.plan(text).plan ?: return
                val response = operator.confirm(plan)
                if (response.result == "confirmed") {
                    accepted += "rule/$name"
                    awaitEverywhere(response.version)
                }
            }
        }

        private suspend fun awaitEverywhere(version: Long) {
            val startedNanos = System.nanoTime()
            val nodes = cluster.nodes.toList()
            withTimeoutOrNull(NODE_START_TIMEOUT_MS) {
                while (nodes.any {
                        it in cluster.nodes && it.configurationVersion < version
                    }
                ) {
                    delay(5)
                }
            }
            propagationMs += (System.nanoTime() - startedNanos) / 1e6
        }

        private suspend fun replaceNodes() = repeat(2) { index ->
            delay(1_500)
            val old = cluster.nodes[index]
            val replacement = cluster.addNode(index)
            withTimeoutOrNull(NODE_START_TIMEOUT_MS) {
                while (!replacement.isReady) delay(POLL_INTERVAL_MS)
            }
            cluster.nodes.remove(old)
            delay(BALANCER_UPDATE_MS)
            old.drain()
            old.close()
        }

        private companion object {
            const val OPERATOR_COUNT = 3
            const val CHANGES_PER_OPERATOR = 15
            const val OPERATOR_KEY = DevCluster.OPERATOR_KEY
        }
    }

    private fun atMost(comparison: Experiment.Comparison, name: String, bound: Double) =
        Bound.atMost(name, bound, comparison.result.measurements[name] ?: Double.MAX_VALUE)

    private fun failureCount(comparison: Experiment.Comparison): Double =
        comparison.result.outcomes.count {
            it.verdict != "Ran" || !it.isComplete || !it.isCorrect
        }.toDouble()

    private fun truncatedCount(comparison: Experiment.Comparison): Double =
        comparison.result.outcomes.count {
            !it.isRefused && (!it.isComplete || !it.isCorrect)
        }.toDouble()

    private const val DISPATCH_AFTER_MS = "latest dispatch after a target is shown leaving, ms"
    private const val REVERTS = "reverts of a configuration"
    private const val NEW_NODE_MS = "time until a node started in the outage serves, ms"
    private const val PROPAGATION_MS = "time until a change is in force everywhere, ms"
    private const val LOST_CHANGES = "accepted changes lost"
    private const val NODE_START_TIMEOUT_MS = 10_000L
    private const val BALANCER_UPDATE_MS = 100L
    private const val POLL_INTERVAL_MS = 20L
}
