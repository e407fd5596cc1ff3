package org.bronzetide.scheduling.fleet

import kotlin.random.Random

/**
 * Hosts that send requests to old and new targets during a rollout, and exchange their counts
 * through a load aggregator. It runs on one clock, in steps of [STEP_MS] milliseconds.
 */
internal class RolloutFleet(
    hostCount: Int,
    private val requestsPerStep: Double,
    private val oldCount: Int = 3,
    private val newCount: Int = 3,
    private val slots: Int = 6,
    durationMs: Long = 60_000,
    seed: Long = 1,
    /** How the new version responds. */
    private val behaviour: (Load) -> Response = { Response(latencyMs = 100) }
) {
    /** What a response of the new version may depend on. */
    class Load(
        val route: String,
        val target: String,
        val inProgress: Int,
        val elapsedMs: Long,
        val random: Random
    )

    /** A response after [latencyMs] on a target of average speed. */
    class Response(val latencyMs: Long, val isFailure: Boolean = false)

    private class Run(
        val host: Host,
        val sequence: Long,
        val target: FleetTarget,
        val endMs: Long,
        val isFailure: Boolean
    )

    inner class Host(index: Int) {
        val name = "host$index"

        /** Whether it hears nothing from others, nor they from it. */
        var isIsolated = false

        /** Whether none of the free targets was allowed at the latest choice. */
        var hasFoundNone = false
        var policy = newPolicy()

        /** Replaces the process by one that knows nothing yet. */
        fun restart() {
            policy = newPolicy()
        }

        private fun newPolicy() = RolloutPolicy(0.1, 50.0) { hosts.size }.also {
            it.updateTargets(targets)
            it.onHeard(nowMs)
        }
    }

    private val random = Random(seed)
    val order = RolloutOrder("app", ServiceVersion("2"), durationMs)
    private val targets = List(oldCount) { target("old$it", "1") } +
        List(newCount) { target("new$it", "2") }

    /** The targets of a large service differ in speed, whatever their version. */
    private val speeds = targets.associate {
        it.id to (if (oldCount >= LARGE_SERVICE) LARGE_SPEEDS else SMALL_SPEEDS).random(random)
    }
    private val sums = RolloutSums()
    private val runs = ArrayList<Run>()
    private val inProgress = HashMap<String, Int>()
    var nowMs = START_MS
        private set
    val hosts = List(hostCount) { Host(it) }
    private var sequences = 0L
    private var owedRequests = 0.0

    var requestCount = 0
        private set
    var exposedCount = 0
        private set
    private var badCount = 0

    /** When the new version gave its 50th bad response. */
    var fiftiethBadAtMs: Long? = null
        private set

    /** When the last request was sent to the new version. */
    var lastExposureAtMs = 0L
        private set

    /** The most requests that a new target had at the same time. */
    var maxInProgress = 0
        private set

    val elapsedMs: Long get() = nowMs - START_MS

    fun start() = hosts.forEach { it.policy.start(order, 0, nowMs) }

    /** Runs for [durationMs], and calls [onStep] after each step. */
    fun run(durationMs: Long, onStep: () -> Unit = {}) {
        val endMs = nowMs + durationMs
        while (nowMs < endMs) {
            nowMs += STEP_MS
            endRuns()
            owedRequests += requestsPerStep
            while (owedRequests >= 1) {
                owedRequests--
                send(hosts.random(random))
            }
            if (elapsedMs % EXCHANGE_MS == 0L) exchange()
            onStep()
        }
    }

    fun proposals(): Set<RolloutDecision?> =
        hosts.mapTo(HashSet()) { it.policy.proposal("app", nowMs) }

    private fun send(host: Host) {
        val free = targets.filter { inProgress.getOrDefault(it.id, 0) < slots }
        // Guards against explanations of other choices than those that are made.
        val expected = free.filter { host.policy.wouldAllow(it, nowMs) }
        val allowed = free.filter { host.policy.isAllowed(it, nowMs) }
        val isAsExpected =
            if (host.hasFoundNone) expected.containsAll(allowed) else expected == allowed
        check(isAsExpected) { "allowed $allowed, but expected $expected" }
        host.hasFoundNone = allowed.isEmpty()
        val target = allowed.randomOrNull(random) ?: return
        requestCount++
        val sequence = sequences++
        val route = "route${sequence % ROUTES}"
        host.policy.onSend(sequence, "app", route, target.id, isFirst = true, nowMs)
        val count = inProgress.merge(target.id, 1, Int::plus)!!
        val isNew = target.version == "2"
        val response = if (isNew) {
            exposedCount++
            lastExposureAtMs = nowMs
            maxInProgress = maxOf(maxInProgress, count)
            behaviour(Load(route, target.id, count, elapsedMs, random))
        } else {
            Response(USUAL_MS)
        }
        val speed = speeds.getValue(target.id) * random.nextDouble(0.5, 1.5)
        val endMs = nowMs + (response.latencyMs * speed).toLong()
        runs += Run(host, sequence, target, endMs, response.isFailure)
    }

    private fun endRuns() {
        val ended = runs.filter { it.endMs <= nowMs }
        runs.removeAll(ended.toSet())
        ended.forEach {
            inProgress.merge(it.target.id, -1, Int::plus)
            if (it.isFailure && ++badCount == 50) fiftiethBadAtMs = nowMs
            val outcome = if (it.isFailure) FleetOutcome.ERROR else FleetOutcome.ANSWERED
            it.host.policy.onEnd(it.sequence, outcome, nowMs)
        }
    }

    private fun exchange() {
        val heard = hosts.filter { !it.isIsolated }
        heard.forEach { sums.onReport(it.name, it.policy.ownReports(nowMs), nowMs) }
        heard.forEach {
            it.policy.onHeard(nowMs)
            it.policy.updatePeerReports(sums.summaryFor(it.name, nowMs), nowMs)
        }
    }

    private fun target(id: String, version: String) =
        FleetTarget(id, "app", "z1", slots, false, isEngine = false, version = version)

    companion object {
        const val STEP_MS = 20L
        const val USUAL_MS = 100L
        const val ROUTES = 4
        private const val EXCHANGE_MS = 500L
        private const val START_MS = 3_600_000L
        private const val LARGE_SERVICE = 12
        private val LARGE_SPEEDS = listOf(0.55, 0.8, 1.0, 1.2, 1.6, 2.8)
        private val SMALL_SPEEDS = listOf(0.8, 1.0, 1.25)
    }
}
