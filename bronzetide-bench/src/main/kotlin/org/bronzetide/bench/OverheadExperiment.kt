package org.bronzetide.bench

import io.ktor.client.HttpClient
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.serialization.Serializable
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import org.bronzetide.cli.CallerClient
import org.bronzetide.cli.DevCluster
import org.bronzetide.cli.OperatorClient
import org.bronzetide.model.Intent
import org.bronzetide.model.JsonFormats
import org.bronzetide.node.Settings
import org.bronzetide.platform.PlatformClients
import org.bronzetide.standins.EngineProfile

/** The overhead of one node over a direct call of the stand-in engine. Times are in ms. */
@Serializable
internal data class OverheadReport(
    val name: String,
    val seed: Long,
    val requestsPerSecondDirect: Double,
    val requestsPerSecondThroughNode: Double,
    val ratioThroughput: Double,
    val halfLoadPerSecond: Double,
    val addedFirstByteMsP50: Double,
    val addedFirstByteMsP99: Double,
    val addedBytesPerStream: Double,
    val heapGrowthPerFinishedRequestBytes: Double,
    val idleNodeCpuFraction: Double,
    val bounds: List<Bound>
)

/** Compares requests through a node with direct requests to the engines, in one process. */
internal class OverheadExperiment(private val seed: Long) {
    private val profile = EngineProfile(
        prefillTokensPerSecond = 1e7,
        stepMs = 0.02,
        stepMsPerSequence = 0.0,
        maxBatch = 1_024
    )

    /** Measures idle, closed-loop and open-loop load in turn and returns the report. */
    suspend fun run(): OverheadReport = DevCluster(
        List(4) { profile },
        serviceCount = 1,
        nodeCount = 1,
        customizeSettings = ::withThreadPerProcessor
    ).use { cluster ->
        PlatformClients.create().use { http ->
            cluster.start()
            configure(OperatorClient(http, cluster.url(0), DevCluster.OPERATOR_KEY))
            measure(cluster, http)
        }
    }

    private fun withThreadPerProcessor(settings: Settings) = settings.copy(httpThreads = 0)

    private suspend fun configure(operator: OperatorClient) {
        val intent = BenchIntent.of(listOf(CALLER), speedup = 1.0)
        val widened = intent.copy(
            pools = intent.pools.mapValues {
                it.value.copy(concurrencyPerTarget = 512, maxQueued = 10_000)
            }
        )
        val text = JsonFormats.settings.encodeToString(Intent.serializer(), widened)
        operator.confirm(requireNotNull(operator.plan(text).plan))
        delay(500)
    }

    private suspend fun measure(cluster: DevCluster, http: HttpClient): OverheadReport {
        val idle = idleCpu()
        val direct = cluster.engines.map { it.url }
        val node = listOf(cluster.url(0))
        listOf(direct, node).forEach { closedLoop(http, it, WARM_UP_MS) }
        val directRate = closedLoop(http, direct, CLOSED_LOOP_MS)
        val nodeRate = closedLoop(http, node, CLOSED_LOOP_MS)
        val halfLoad = nodeRate / 2
        val directTimes = openLoop(http, direct, halfLoad)
        val nodeTimes = openLoop(http, node, halfLoad)
        cluster.engines.forEach { it.slowdown = OPEN_STREAM_SLOWDOWN }
        val streamBytes = heapOfOpenStreams(http, node) - heapOfOpenStreams(http, direct)
        cluster.engines.forEach { it.slowdown = 1.0 }
        val before = ProcessMetrics.usedHeapBytes()
        closedLoop(http, node, CLOSED_LOOP_MS)
        val growth = (ProcessMetrics.usedHeapBytes() - before) / (nodeRate * CLOSED_LOOP_MS / 1_000)
        val addedP99 = nodeTimes.percentileMs(99.0) - directTimes.percentileMs(99.0)
        return OverheadReport(
            name = "overhead",
            seed = seed,
            requestsPerSecondDirect = directRate,
            requestsPerSecondThroughNode = nodeRate,
            ratioThroughput = nodeRate / directRate,
            halfLoadPerSecond = halfLoad,
            addedFirstByteMsP50 = nodeTimes.percentileMs(50.0) - directTimes.percentileMs(50.0),
            addedFirstByteMsP99 = addedP99,
            addedBytesPerStream = streamBytes / OPEN_STREAMS,
            heapGrowthPerFinishedRequestBytes = growth,
            idleNodeCpuFraction = idle,
            bounds = listOf(Bound.atMost("added first byte p99 in ms at half load", 2.0, addedP99))
        )
    }

    /** Runs [CONCURRENCY] workers for [lengthMs] and returns the completed requests per second. */
    private suspend fun closedLoop(http: HttpClient, urls: List<String>, lengthMs: Long): Double {
        val done = AtomicInteger()
        val client = CallerClient(http)
        val startedNanos = System.nanoTime()
        withContext(Dispatchers.Default) {
            List(CONCURRENCY) { worker ->
                async {
                    while (System.nanoTime() - startedNanos < lengthMs * 1_000_000) {
                        if (isCompleted(client, urls[worker % urls.size])) done.incrementAndGet()
                    }
                }
            }.awaitAll()
        }
        return done.get() / ((System.nanoTime() - startedNanos) / 1e9)
    }

    /** Sends [perSecond] requests per second and returns their times to first byte, in us. */
    private suspend fun openLoop(
        http: HttpClient,
        urls: List<String>,
        perSecond: Double
    ): Histogram {
        val times = ConcurrentHistogram(3)
        val client = CallerClient(http)
        val count = (perSecond * OPEN_LOOP_MS / 1_000).toInt()
        val startedNanos = System.nanoTime()
        withContext(Dispatchers.Default) {
            repeat(count) { index ->
                val dueMs = index * 1_000 / perSecond
                val waitMs = dueMs - (System.nanoTime() - startedNanos) / 1e6
                if (waitMs >= 1) delay(waitMs.toLong())
                launch {
                    val result = client.complete(
                        urls[index % urls.size],
                        KEY,
                        BenchIntent.MODEL,
                        PROMPT
                    )
                    if (result.isComplete) times.recordValue((result.firstByteMs * 1_000).toLong())
                }
            }
        }
        return times
    }

    private suspend fun isCompleted(client: CallerClient, url: String): Boolean =
        client.complete(url, KEY, BenchIntent.MODEL, PROMPT).isComplete

    private suspend fun heapOfOpenStreams(http: HttpClient, urls: List<String>): Double {
        val client = CallerClient(http)
        val before = ProcessMetrics.usedHeapBytes()
        val options = CallerClient.Options(maxTokens = LONG_STREAM_TOKENS)
        return coroutineScope {
            val streams = List(OPEN_STREAMS) {
                launch(Dispatchers.Default) {
                    client.complete(
                        urls[it % urls.size],
                        KEY,
                        BenchIntent.MODEL,
                        LONG_PROMPT,
                        options
                    )
                }
            }
            delay(1_000)
            val during = ProcessMetrics.usedHeapBytes()
            streams.forEach { it.cancel() }
            during - before
        }
    }

    private suspend fun idleCpu(): Double {
        val bean = java.lang.management.ManagementFactory.getOperatingSystemMXBean()
            as com.sun.management.OperatingSystemMXBean
        delay(1_000)
        val before = bean.processCpuTime
        delay(IDLE_SAMPLE_MS)
        return (bean.processCpuTime - before) / (IDLE_SAMPLE_MS * 1e6)
    }

    private fun Histogram.percentileMs(percentile: Double) =
        getValueAtPercentile(percentile) / 1_000.0

    private companion object {
        const val CALLER = "overhead"
        val KEY = BenchIntent.keyOf(CALLER)
        const val PROMPT = "[out=4] how much does a node add?"
        const val LONG_PROMPT = "[out=90000] a stream that stays open"
        const val LONG_STREAM_TOKENS = 100_000
        const val CONCURRENCY = 32
        const val OPEN_STREAMS = 200
        const val OPEN_STREAM_SLOWDOWN = 2_000.0
        const val WARM_UP_MS = 4_000L
        const val CLOSED_LOOP_MS = 3_000L
        const val OPEN_LOOP_MS = 4_000L
        const val IDLE_SAMPLE_MS = 3_000L
    }
}
