package org.bronzetide.bench

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import org.bronzetide.cli.CallerClient
import org.bronzetide.cli.DevCluster
import org.bronzetide.cli.OperatorClient
import org.bronzetide.coordination.NodeId
import org.bronzetide.model.CallerId
import org.bronzetide.model.ConfigObject
import org.bronzetide.model.Intent
import org.bronzetide.model.JsonFormats
import org.bronzetide.model.TargetId
import org.bronzetide.model.Tier
import org.bronzetide.platform.PlatformClients
import org.bronzetide.scheduling.Decision
import org.bronzetide.scheduling.PoolPolicy
import org.bronzetide.scheduling.PoolScheduler
import org.bronzetide.scheduling.Release
import org.bronzetide.scheduling.ReleaseOutcome
import org.bronzetide.scheduling.TargetSpec
import org.bronzetide.scheduling.Ticket
import org.bronzetide.scheduling.TicketId
import org.bronzetide.standins.EngineProfile

/** The costs per node, request, change and queued ticket that the capacity page is based on. */
@Serializable
internal data class SlopesReport(
    val name: String,
    val seed: Long,
    /** The cost of idle clusters of growing size. */
    val idleByNodes: List<IdlePoint>,
    /** The control bytes that all nodes send per request. */
    val controlBytesPerRequest: Double,
    /** The CPU time of the control threads of all nodes per request, in microseconds. */
    val controlCpuUsPerRequest: Double,
    /** The control bytes that a node sends per change of the configuration. */
    val controlBytesPerChange: Double,
    /** The object store calls per second of the largest idle cluster. */
    val storeCallsPerSecond: Double,
    /** The time per scheduling decision by the number of queued tickets. */
    val decisions: List<DecisionPoint>
) {
    /** The cost per node of an idle cluster of [nodes]. */
    @Serializable
    data class IdlePoint(
        val nodes: Int,
        val controlBytesPerNodeSecond: Double,
        val controlCpuFraction: Double,
        val heapBytesPerNode: Double
    )

    /** The time to enroll, grant and release one ticket while [queued] tickets wait. */
    @Serializable
    data class DecisionPoint(
        val queued: Int,
        val targets: Int,
        val callers: Int,
        val microseconds: Double
    )
}

/** Measures the costs that grow with nodes, requests, changes and queued tickets. */
internal class SlopesExperiment(private val seed: Long) {
    private var storeCallsPerSecond = 0.0

    /** Runs all measurements one after another and returns the report. */
    suspend fun run(): SlopesReport {
        val idle = listOf(3, 6, 12, 24).map { idlePoint(it) }
        val (bytes, cpu) = perRequest()
        return SlopesReport(
            name = "slopes",
            seed = seed,
            idleByNodes = idle,
            controlBytesPerRequest = bytes,
            controlCpuUsPerRequest = cpu,
            controlBytesPerChange = perChange(),
            storeCallsPerSecond = storeCallsPerSecond,
            decisions = listOf(100, 1_000, 10_000).map { decisionPoint(it) }
        )
    }

    private suspend fun idlePoint(nodes: Int): SlopesReport.IdlePoint {
        val heapBefore = ProcessMetrics.usedHeapBytes()
        return DevCluster(
            listOf(EngineProfile()),
            serviceCount = 1,
            nodeCount = nodes
        ).use { cluster ->
            cluster.start()
            delay(SETTLE_DELAY_MS)
            val heap = (ProcessMetrics.usedHeapBytes() - heapBefore) / nodes
            val callsBefore = cluster.store.reads.get() + cluster.store.writes.get()
            val sample = sample(cluster) { delay(SAMPLE_MS) }
            val calls = cluster.store.reads.get() + cluster.store.writes.get() - callsBefore
            storeCallsPerSecond = calls * 1_000.0 / SAMPLE_MS
            SlopesReport.IdlePoint(nodes, sample.bytesPerNodeSecond, sample.cpuFraction, heap)
        }
    }

    private suspend fun perRequest(): Pair<Double, Double> =
        DevCluster(List(4) { EngineProfile(stepMs = 0.1) }, 1, nodeCount = 6).use { cluster ->
            PlatformClients.create().use { http ->
                cluster.start()
                val operator = OperatorClient(http, cluster.url(0), DevCluster.OPERATOR_KEY)
                confirm(operator, BenchIntent.of(listOf(CALLER), speedup = 1.0))
                delay(SETTLE_DELAY_MS)
                val client = CallerClient(http)
                repeat(WARM_UP_ROUNDS) { warmUp(client, cluster) }
                val idle = sample(cluster) { delay(SAMPLE_MS) }
                val busy = sample(cluster) {
                    repeat(REQUEST_COUNT) {
                        client.complete(
                            cluster.url(it),
                            BenchIntent.keyOf(CALLER),
                            BenchIntent.MODEL,
                            "[out=4]"
                        )
                    }
                }
                val bytes = busy.bytes - idle.bytesPerNodeSecond * busy.nodeSeconds
                val cpu = busy.cpuNanos - idle.cpuFraction * 1e9 * busy.nodeSeconds
                bytes / REQUEST_COUNT to cpu / 1e3 / REQUEST_COUNT
            }
        }

    private suspend fun warmUp(client: CallerClient, cluster: DevCluster) = coroutineScope {
        repeat(REQUEST_COUNT) {
            launch {
                val key = BenchIntent.keyOf(CALLER)
                client.complete(cluster.url(it), key, BenchIntent.MODEL, "[out=4]")
            }
        }
    }

    private suspend fun perChange(): Double =
        DevCluster(listOf(EngineProfile()), 1, nodeCount = 6).use { cluster ->
            PlatformClients.create().use { http ->
                cluster.start()
                val operator = OperatorClient(http, cluster.url(0), DevCluster.OPERATOR_KEY)
                confirm(operator, BenchIntent.of(listOf(CALLER), speedup = 1.0))
                delay(SETTLE_DELAY_MS)
                val idle = sample(cluster) { delay(SAMPLE_MS) }
                val busy = sample(cluster) {
                    repeat(CHANGE_COUNT) {
                        val rule = ConfigObject.RuleObject(
                            caller = CALLER,
                            deadlineMs = 1_000L + it
                        )
                        val version = confirm(operator, Intent(rules = mapOf("slope" to rule)))
                        withTimeoutOrNull(PROPAGATION_TIMEOUT_MS) {
                            while (cluster.nodes.any { node ->
                                    node.configurationVersion < version
                                }
                            ) {
                                delay(5)
                            }
                        }
                    }
                }
                (busy.bytes - idle.bytesPerNodeSecond * busy.nodeSeconds) / CHANGE_COUNT /
                    cluster.nodes.size
            }
        }

    private suspend fun confirm(operator: OperatorClient, intent: Intent): Long {
        val text = JsonFormats.settings.encodeToString(Intent.serializer(), intent)
        return operator.confirm(requireNotNull(operator.plan(text).plan)).version
    }

    private suspend fun sample(cluster: DevCluster, work: suspend () -> Unit): Sample {
        val bytes = cluster.nodes.sumOf { it.peerBytesSent }
        val cpu = ProcessMetrics.controlCpuNanos()
        val startedNanos = System.nanoTime()
        work()
        val seconds = (System.nanoTime() - startedNanos) / 1e9
        return Sample(
            bytes = (cluster.nodes.sumOf { it.peerBytesSent } - bytes).toDouble(),
            cpuNanos = (ProcessMetrics.controlCpuNanos() - cpu).toDouble(),
            nodeSeconds = seconds * cluster.nodes.size
        )
    }

    private class Sample(val bytes: Double, val cpuNanos: Double, val nodeSeconds: Double) {
        val bytesPerNodeSecond: Double get() = bytes / nodeSeconds
        val cpuFraction: Double get() = cpuNanos / 1e9 / nodeSeconds
    }

    private fun decisionPoint(queued: Int): SlopesReport.DecisionPoint {
        val scheduler = PoolScheduler(
            PoolPolicy(
                concurrencyPerTarget = 8,
                maxQueued = queued + TARGET_COUNT * 40
            )
        )
        scheduler.updateTargets(List(TARGET_COUNT) { TargetSpec(TargetId("t$it")) })
        var sequence = 0L
        fun enroll() = scheduler.enroll(ticket(sequence++), nowMs = 0)
        repeat(queued + TARGET_COUNT * 8) { enroll() }
        val running = ArrayDeque(scheduler.decide(0).map { it.ticket.id })
        repeat(DECISION_COUNT) { runDecision(scheduler, running) { enroll() } }
        val startedNanos = System.nanoTime()
        repeat(DECISION_COUNT) { runDecision(scheduler, running) { enroll() } }
        val microseconds = (System.nanoTime() - startedNanos) / 1e3 / DECISION_COUNT
        return SlopesReport.DecisionPoint(queued, TARGET_COUNT, CALLER_COUNT, microseconds)
    }

    private fun runDecision(
        scheduler: PoolScheduler,
        running: ArrayDeque<TicketId>,
        enroll: () -> Unit
    ) {
        enroll()
        val release = Release(ReleaseOutcome.FINISHED, 200, 60, firstTokenMs = 20, durationMs = 900)
        scheduler.release(running.removeFirst(), release, nowMs = 0)
        scheduler.decide(nowMs = 0).forEach {
            if (it is Decision.Grant) running.addLast(it.ticket.id)
        }
    }

    private fun ticket(sequence: Long) = Ticket(
        id = TicketId(NodeId("n${sequence % 2_100}"), sequence),
        tier = Tier(1 + (sequence % 4).toInt()),
        caller = CallerId("c${sequence * 7_919 % CALLER_COUNT}"),
        operation = "short",
        promptTokens = 100 + (sequence % 200).toInt(),
        maxOutputTokens = 256,
        prefixHash = sequence % 500,
        deadlineAtMs = 1_000_000
    )

    private companion object {
        const val CALLER = "slopes"
        const val SETTLE_DELAY_MS = 3_000L
        const val SAMPLE_MS = 4_000L
        const val PROPAGATION_TIMEOUT_MS = 5_000L
        const val REQUEST_COUNT = 600
        const val WARM_UP_ROUNDS = 8
        const val CHANGE_COUNT = 20
        const val TARGET_COUNT = 512
        const val CALLER_COUNT = 7_000
        const val DECISION_COUNT = 20_000
    }
}
