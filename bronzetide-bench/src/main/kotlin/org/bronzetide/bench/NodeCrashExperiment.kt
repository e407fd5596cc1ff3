package org.bronzetide.bench

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import java.io.File
import java.net.ServerSocket
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import org.bronzetide.cli.CallerClient
import org.bronzetide.cli.CallerResponse
import org.bronzetide.cli.DevCluster
import org.bronzetide.cli.OperatorClient
import org.bronzetide.model.Intent
import org.bronzetide.model.JsonFormats
import org.bronzetide.node.Settings
import org.bronzetide.platform.NodeHost
import org.bronzetide.platform.PlatformClients

/** The results of killing one node and pausing another. */
@Serializable
internal data class NodeCrashReport(
    val name: String,
    val seed: Long,
    val nodeCount: Int,
    val requests: Int,
    val commands: Int,
    val commandsByVerdict: Map<String, Int>,
    val duplicateDispatches: Int,
    val falseNotRun: Int,
    val incompleteAnswers: Int,
    val violations: List<String>,
    val bounds: List<Bound>
)

/**
 * Runs nodes as processes: one is killed, another is paused for longer than the suspicion timeout
 * and resumed, while commands with idempotency keys are retried through other nodes. `bench/run`
 * starts and signals the processes as instructed by lines in the file `control` in [control].
 */
internal class NodeCrashExperiment(private val seed: Long, private val control: File) {
    private val random = Random(seed)
    private val exchanges = ConcurrentLinkedQueue<Exchange>()
    private val verdicts = ConcurrentLinkedQueue<String>()
    private val ports = List(NODE_COUNT) { freePort() }
    private val nodesInRotation = java.util.concurrent.CopyOnWriteArrayList(
        (0 until NODE_COUNT).toList()
    )
    private val startedNanos = System.nanoTime()
    private var killedAtMs = 0.0
    private var pausedAtMs = 0.0

    /** Starts the nodes, runs the load with both failures and returns the report. */
    suspend fun run(): NodeCrashReport = DevCluster(
        FleetProfile(speedup = 3.0, engineCount = 6).engines,
        3,
        nodeCount = 0
    ).use { platform ->
        PlatformClients.create().use { http -> runLoad(platform, http) }
    }

    private suspend fun runLoad(platform: DevCluster, http: HttpClient): NodeCrashReport {
        startNodes(platform, http)
        val operator = OperatorClient(http, url(0), DevCluster.OPERATOR_KEY)
        val text = JsonFormats.settings.encodeToString(
            Intent.serializer(),
            BenchIntent.of(listOf(CALLER), 3.0)
        )
        operator.confirm(requireNotNull(operator.plan(text).plan))
        delay(SETTLE_DELAY_MS)
        withContext(Dispatchers.Default) {
            coroutineScope {
                launch { injectFaults() }
                load(CallerClient(http, timeoutMs = 10_000))
            }
        }
        sendControl("end all")
        return report(platform)
    }

    private suspend fun startNodes(platform: DevCluster, http: HttpClient) {
        val hosts = ports.mapIndexed { index, port ->
            val peerPort = freePort()
            val settings = platform.settings(
                index
            ).copy(port = port, peerPort = peerPort, httpThreads = 0)
            val text = JsonFormats.settings.encodeToString(Settings.serializer(), settings)
            File(control, "node-$index.json").writeText(text)
            sendControl("start node-$index")
            NodeHost("node-$index", "127.0.0.1", peerPort, settings.zone)
        }
        platform.hostList.update { it.copy(nodes = hosts) }
        withTimeout(START_TIMEOUT_MS) {
            for (index in 0 until NODE_COUNT) {
                while (!isReady(http, index)) delay(POLL_INTERVAL_MS)
            }
        }
    }

    private suspend fun isReady(http: HttpClient, index: Int): Boolean =
        runCatching { http.get("${url(index)}/readyz").status.value == 200 }.getOrDefault(false)

    private suspend fun injectFaults() {
        delay(4_000)
        killedAtMs = nowMs()
        sendControl("kill node-$KILLED_NODE")
        delay(BALANCER_UPDATE_MS)
        nodesInRotation.remove(KILLED_NODE)
        delay(5_000)
        pausedAtMs = nowMs()
        sendControl("pause node-$PAUSED_NODE")
        delay(BALANCER_UPDATE_MS)
        nodesInRotation.remove(PAUSED_NODE)
        delay(PAUSE_MS)
        sendControl("continue node-$PAUSED_NODE")
        delay(1_000)
        nodesInRotation.add(PAUSED_NODE)
    }

    private suspend fun load(client: CallerClient) = coroutineScope {
        repeat(REQUEST_COUNT) { index ->
            delay(LOAD_DURATION_MS / REQUEST_COUNT)
            launch {
                if (index % COMMAND_STEP == 0) command(client, index) else complete(client, index)
            }
        }
    }

    private suspend fun complete(client: CallerClient, index: Int) {
        val node = nodesInRotation.random(random)
        val sentAtMs = nowMs()
        val response = runCatching {
            client.complete(url(node), KEY, BenchIntent.MODEL, "r $index [out=40]")
        }.getOrNull()
        exchanges +=
            Exchange(node, sentAtMs, response, isCorrect = response?.text == EXPECTED_TEXT)
    }

    private suspend fun command(client: CallerClient, index: Int) {
        val body = """{"command":"$index"}"""
        val options = CallerClient.Options(idempotencyKey = "command-$index", deadlineMs = 5_000)
        var verdict = "none"
        repeat(COMMAND_ATTEMPTS) {
            if (verdict == "Ran") return@repeat
            val node = nodesInRotation.random(random)
            val sentAtMs = nowMs()
            val response = withTimeoutOrNull(COMMAND_TIMEOUT_MS) {
                val address = "${url(node)}/v1/services/${DevCluster.SERVICE_POOL}/gates"
                runCatching { client.command(address, KEY, body, options) }.getOrNull()
            }
            verdict = response?.verdict ?: "none"
            if (response != null) exchanges += Exchange(node, sentAtMs, response, isCorrect = true)
            delay(RETRY_DELAY_MS)
        }
        verdicts += verdict
    }

    private fun report(platform: DevCluster): NodeCrashReport {
        val received = HashMap<String, Int>()
        platform.engines.forEach { e ->
            e.requestCounts.forEach { (id, n) -> received.merge(id, n, Int::plus) }
        }
        val executed = HashMap<String, Int>()
        platform.services.forEach { s ->
            s.executionCounts.forEach { (b, n) -> executed.merge(b, n, Int::plus) }
        }
        platform.services.forEach { s ->
            s.requestCounts.forEach { (id, n) -> received.merge(id, n, Int::plus) }
        }
        val duplicates = received.values.count { it > 1 } + executed.values.count { it > 1 }
        val falseNotRun = exchanges.count {
            it.response?.verdict == "NotRun" &&
                it.response.requestId in received
        }
        val incomplete = exchanges.count {
            it.response?.status == 200 &&
                (!it.response.isComplete || !it.isCorrect)
        }
        val resumed = maxOf(outageMs(killedAtMs, KILLED_NODE), outageMs(pausedAtMs, PAUSED_NODE))
        return NodeCrashReport(
            name = "node-crash",
            seed = seed,
            nodeCount = NODE_COUNT,
            requests = exchanges.size,
            commands = verdicts.size,
            commandsByVerdict = verdicts.groupingBy { it }.eachCount(),
            duplicateDispatches = duplicates,
            falseNotRun = falseNotRun,
            incompleteAnswers = incomplete,
            violations = listOfNotNull(
                "$duplicates duplicate dispatches".takeIf { duplicates > 0 },
                "$falseNotRun false NotRun".takeIf { falseNotRun > 0 }
            ),
            bounds = listOf(
                Bound.atMost("duplicate dispatches", 0.0, duplicates.toDouble()),
                Bound.atMost("false NotRun", 0.0, falseNotRun.toDouble()),
                Bound.atMost("service elsewhere resumes, ms", 3_000.0, resumed)
            )
        )
    }

    /**
     * The time from [failedAtMs] to the sending of the last request that did not run, in ms.
     * Requests through the failed node or the killed one and those sent more than
     * [OUTAGE_WINDOW_MS] after the failure are ignored.
     */
    private fun outageMs(failedAtMs: Double, failed: Int): Double = exchanges
        .filter { it.node != failed && it.node != KILLED_NODE }
        .filter {
            it.sentAtMs in failedAtMs..failedAtMs + OUTAGE_WINDOW_MS &&
                it.response?.verdict != "Ran"
        }
        .maxOfOrNull { it.sentAtMs - failedAtMs } ?: 0.0

    private fun sendControl(line: String) = File(control, "control").appendText("$line\n")

    private fun url(index: Int) = "http://127.0.0.1:${ports[index]}"

    private fun nowMs() = (System.nanoTime() - startedNanos) / 1e6

    private fun freePort(): Int = ServerSocket(0).use { it.localPort }

    private class Exchange(
        val node: Int,
        val sentAtMs: Double,
        val response: CallerResponse?,
        val isCorrect: Boolean
    )

    private companion object {
        const val NODE_COUNT = 5
        const val KILLED_NODE = 1
        const val PAUSED_NODE = 2
        const val CALLER = "crash"
        val KEY = BenchIntent.keyOf(CALLER)
        val EXPECTED_TEXT = (0 until 40).joinToString("") { "$it " }
        const val START_TIMEOUT_MS = 30_000L
        const val SETTLE_DELAY_MS = 3_000L
        const val POLL_INTERVAL_MS = 100L
        const val BALANCER_UPDATE_MS = 500L
        const val PAUSE_MS = 11_000L
        const val LOAD_DURATION_MS = 25_000L
        const val REQUEST_COUNT = 1_000
        const val COMMAND_STEP = 4
        const val COMMAND_ATTEMPTS = 12
        const val COMMAND_TIMEOUT_MS = 1_500L
        const val RETRY_DELAY_MS = 250L
        const val OUTAGE_WINDOW_MS = 5_000.0
    }
}
