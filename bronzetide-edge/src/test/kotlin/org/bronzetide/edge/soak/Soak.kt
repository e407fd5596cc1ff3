package org.bronzetide.edge.soak

import java.io.File
import java.io.IOException
import java.nio.file.Files
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.system.exitProcess
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.edge.standin.StoreStandIn
import org.bronzetide.http.ConnectionPool
import org.bronzetide.http.Header
import org.bronzetide.http.HttpConnection
import org.bronzetide.http.OutgoingRequest
import org.bronzetide.http.TrafficLoop

/**
 * A randomized soak test: edge processes in front of stand-in targets and a stand-in store,
 * callers with persistent connections, and overlapping series of injected faults. The faults are
 * derived from the seed; their effects also depend on timing.
 */
class Soak(seed: Long, private val nodeCount: Int, private val targetCount: Int) : AutoCloseable {
    private val random = Random(seed)
    private val directory: File = Files.createTempDirectory("soak-$seed-").toFile()
    private val store = StoreStandIn()
    private val storeProxy = FaultProxy(store.port)
    private val ports = SoakNode.Ports.free(storeProxy.port)
    private val loop = TrafficLoop()
    private val pool = ConnectionPool(loop, MonotonicClock.System)
    private val requestCounter = AtomicLong()
    private var manifestVersion = 1

    @Volatile
    private var areLimitsChecked = false

    /** The faults of processes in progress. */
    private val nodeFaultCount = AtomicInteger()
    val checker = SoakChecker()
    private val targets = List(targetCount) {
        val service = if (it % 2 == 0) "model" else "api"
        SoakTarget("t$it", service, checker, store, Random(seed + it))
    }
    private val nodes = List(nodeCount) {
        val seeds = "127.0.1.1:${ports.control}"
        SoakNode("n$it", "127.0.1.${it + 1}", ports, seeds, directory, shielded = it % 2 == 0)
    }

    /** The directory of the log and settings files of the processes. */
    val logDirectory: File get() = directory

    /** Injects faults under load for [seconds], checks recovery and returns all violations. */
    fun run(seconds: Int): List<String> = runBlocking(Dispatchers.Default) {
        writeManifest()
        targets.forEach { it.register("ready") }
        nodes.forEach { it.start() }
        val isUp = withTimeoutOrNull(START_TIMEOUT_MS) { while (!isServing()) delay(100) } != null
        if (!isUp) return@runBlocking listOf("recover: no node served within $START_TIMEOUT_MS ms")
        val supervisor = launch(Dispatchers.IO) { supervise() }
        val load = launch(Dispatchers.IO) { repeat(CALLERS) { launch { runCaller(it) } } }
        val faults = launch(Dispatchers.IO) {
            repeat(FAULT_SERIES) { launch { injectFaults(it) } }
            repeat(FAULT_SERIES) { launch { injectProcessFaults() } }
            launch { changeLimits() }
        }
        delay(seconds * 1_000L)
        faults.cancel()
        faults.join()
        checkRecovery()
        supervisor.cancel()
        load.cancel()
        load.join()
        checker.violations.toList()
    }

    override fun close() {
        nodes.forEach { it.close() }
        targets.forEach { it.close() }
        storeProxy.close()
        store.close()
        pool.close()
        loop.close()
    }

    private suspend fun isServing(): Boolean = nodes.all { isServing(it) }

    private suspend fun isServing(node: SoakNode): Boolean = try {
        pool.open(node.ip, ports.ready).use { connection ->
            connection.send(OutgoingRequest("GET", "/ready", emptyList()))
            withTimeoutOrNull(RESPONSE_TIMEOUT_MS) { connection.receive().status } == 200
        }
    } catch (_: IOException) {
        false
    }

    /** Sends requests on a persistent connection to a random node and reconnects when it ends. */
    private suspend fun runCaller(index: Int) = coroutineScope {
        val rng = Random(index)
        while (isActive) {
            val node = nodes[rng.nextInt(nodes.size)]
            try {
                pool.open(node.ip, ports.callers).use { connection ->
                    while (sendRequest(connection, SoakRequestKind.entries.random(rng), rng)) Unit
                }
            } catch (_: IOException) {
                delay(50)
            }
        }
    }

    private suspend fun sendRequest(
        connection: HttpConnection,
        kind: SoakRequestKind,
        rng: Random
    ): Boolean {
        val id = "r${requestCounter.incrementAndGet()}"
        checker.onRequestSent(id, kind)
        val headers = listOf(
            Header("Host", "h.example"),
            Header("Request-Id", id),
            Header("Deadline-Ms", "4000"),
            Header("X-Api-Key", "key-1"),
            Header("Token-Usage", "20,10"),
            Header("Tenant", "forged"),
            Header("Kv-From", "forged")
        )
        val body = ByteArray(rng.nextInt(3_000))
        val isComplete = try {
            withTimeoutOrNull(RESPONSE_TIMEOUT_MS) {
                connection.send(OutgoingRequest("POST", kind.path, headers, body))
                val response = connection.receive()
                checker.onResponse(
                    id,
                    response.status,
                    response.body.readAll(MAX_RESPONSE_BYTES).decodeToString()
                )
                true
            }
        } catch (_: IOException) {
            null
        }
        if (isComplete == null) checker.onIncompleteResponse()
        delay(rng.nextLong(20))
        return isComplete == true && rng.nextInt(50) > 0
    }

    /** Stops, pauses and signals processes, with and without notice, and starts them again. */
    private suspend fun injectProcessFaults() {
        val rng = Random(random.nextInt())
        while (true) {
            delay(rng.nextLong(300, 1_500))
            val node = nodes.random(rng)
            when (rng.nextInt(4)) {
                0 -> unlessLimitsAreChecked {
                    restart(node) {
                        it.kill()
                        it.startBesideFault(rng)
                    }
                }

                1 -> unlessLimitsAreChecked { restart(node) { it.replace(rng) } }

                // Under the lock, as a paused process would not end on SIGTERM.
                2 -> unlessLimitsAreChecked {
                    synchronized(node) {
                        node.signal("STOP")
                        Thread.sleep(rng.nextLong(200, 3_000))
                        node.signal("CONT")
                    }
                }

                else -> synchronized(node) { node.signal("HUP") }
            }
        }
    }

    private suspend fun injectFaults(series: Int) {
        val rng = Random(random.nextInt() + series)
        while (true) {
            delay(rng.nextLong(300, 1_500))
            when (rng.nextInt(6)) {
                0 -> holdFault(rng, { store.isUnavailable = true }) { store.isUnavailable = false }

                1 -> store.compact()

                2 -> holdFault(rng, { storeProxy.fault = LinkFault.entries.random(rng) }) {
                    storeProxy.fault = LinkFault.NONE
                    storeProxy.resetAll()
                }

                3 -> targets.random(rng).let { target ->
                    holdFault(rng, { target.proxy.fault = LinkFault.entries.random(rng) }) {
                        target.proxy.fault = LinkFault.NONE
                        target.proxy.resetAll()
                    }
                }

                4 -> targets.random(rng).let { target ->
                    holdFault(rng, { target.failureRate = 0.4 }) { target.failureRate = 0.0 }
                }

                else -> targets.random(rng).let { target ->
                    target.register("draining")
                    writeManifest()
                    delay(rng.nextLong(500, 2_000))
                    target.register("ready")
                }
            }
        }
    }

    /**
     * Lets targets name limits, raise, lower and withdraw them, one target or all at once. A start
     * or a pause of a process excuses it from limits, so there are none while they are checked.
     */
    private suspend fun changeLimits() {
        val rng = Random(random.nextInt())
        while (true) {
            delay(rng.nextLong(500, 8_000))
            val limited = if (rng.nextInt(3) == 0) targets else listOf(targets.random(rng))
            areLimitsChecked = true
            while (nodeFaultCount.get() > 0 || !isServing()) delay(20)
            try {
                repeat(rng.nextInt(1, 3)) {
                    limited.forEach { it.limit.name(LIMITS_PER_S.random(rng)) }
                    delay(SoakLimit.SETTLING_MS + rng.nextLong(2_000, 5_000))
                }
            } finally {
                limited.forEach { it.limit.name(null) }
                areLimitsChecked = false
            }
        }
    }

    private suspend fun unlessLimitsAreChecked(inject: suspend () -> Unit) {
        nodeFaultCount.incrementAndGet()
        try {
            if (!areLimitsChecked) inject()
        } finally {
            nodeFaultCount.decrementAndGet()
        }
    }

    /** Restarts processes that exited, as the platform does. */
    private suspend fun supervise() {
        while (true) {
            delay(SUPERVISION_INTERVAL_MS)
            nodes.forEach { node ->
                synchronized(node) {
                    if (node.isRunning) return@synchronized
                    node.unexpectedEnd?.let { checker.violations += "exit: $it" }
                    node.start()
                }
            }
        }
    }

    /** Calls [restart], which returns whether each process that got SIGTERM ended in time. */
    private fun restart(node: SoakNode, restart: (SoakNode) -> Boolean) = synchronized(node) {
        if (node.isRunning && !restart(node)) {
            checker.violations += "stop: ${node.name} did not end"
        }
    }

    private suspend fun holdFault(rng: Random, inject: () -> Unit, clear: () -> Unit) {
        inject()
        try {
            delay(rng.nextLong(300, 3_000))
        } finally {
            clear()
        }
    }

    /** Clears all faults; all nodes must then serve within [RECOVERY_TIMEOUT_MS]. */
    private suspend fun checkRecovery() {
        nodes.forEach { it.signal("CONT") }
        store.isUnavailable = false
        storeProxy.fault = LinkFault.NONE
        targets.forEach {
            it.failureRate = 0.0
            it.proxy.fault = LinkFault.NONE
            it.register("ready")
        }
        val before = checker.servedCount.get()
        val isRecovered = withTimeoutOrNull(RECOVERY_TIMEOUT_MS) {
            while (!isServing() || checker.servedCount.get() < before + CALLERS) delay(100)
        }
        if (isRecovered != null) return
        val missing = nodes.filterNot { isServing(it) }
            .map { "${it.name} (${if (it.isRunning) "runs" else "does not run"})" }
        checker.violations += "recover: within $RECOVERY_TIMEOUT_MS ms not ready: $missing"
    }

    @Synchronized
    private fun writeManifest() = store.write(
        "config",
        "main",
        """{"version":${manifestVersion++},"routes":[${EdgeTestEnvironment.ROUTES}],
            "services":[{"name":"api","max_conns":90},
              {"name":"model","max_conns":90,"engine":{"slots":8}}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":100000,
              "header_timeout_ms":500,"idle_timeout_ms":15000},
            "tenants":[{"name":"${SoakChecker.ACCOUNT}","api_keys":["key-1"]}]}"""
    )

    private companion object {
        const val CALLERS = 16
        const val FAULT_SERIES = 2
        val LIMITS_PER_S = listOf(0.5, 1.3, 5.0, 20.0)
        const val START_TIMEOUT_MS = 20_000L
        const val RESPONSE_TIMEOUT_MS = 6_000L
        const val SUPERVISION_INTERVAL_MS = 200L
        const val RECOVERY_TIMEOUT_MS = 12_000L
        const val MAX_RESPONSE_BYTES = 1_000_000
    }
}

/**
 * Entry point of `bench/soak [--seed N] [--seconds S] [--nodes K] [--targets T]`; exits with 1 if
 * a guarantee was violated.
 */
fun main(arguments: Array<String>) {
    fun option(name: String, default: Int) =
        arguments.indexOf("--$name").takeIf { it >= 0 }?.let { arguments[it + 1].toInt() }
            ?: default
    val seed = option("seed", 1)
    val soak = Soak(seed.toLong(), option("nodes", 4), option("targets", 6))
    val violations = soak.use { it.run(option("seconds", 60)) }
    val checker = soak.checker
    println(
        "seed $seed: ${checker.servedCount} served, ${checker.refusedCount} refused, " +
            "${checker.failedCount} failed, ${violations.size} broken; logs in ${soak.logDirectory}"
    )
    violations.distinct().take(20).forEach { println("  $it") }
    exitProcess(if (violations.isEmpty()) 0 else 1)
}
