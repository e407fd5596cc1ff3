package org.bronzetide.scheduling.fleet

import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/**
 * Schedulers and quotas of many hosts before the same targets, with the load aggregator between
 * them. Targets run as many requests as they have slots and queue the others in order of arrival.
 * Time is simulated; a test adds arrivals and runs to an end.
 */
internal class FleetHarness(
    hostCount: Int,
    private val targets: List<Target>,
    seed: Long,
    private val quotas: Map<String, Double> = emptyMap()
) {
    /** One kind of request, with [perSecond] arrivals a second over all hosts. */
    class Load(
        val service: String,
        val perSecond: (Long) -> Double,
        val account: (Random) -> String = { "a0" },
        val priority: Int = 0,
        val promptTokens: (Random) -> Int = { 0 },
        val events: (Random) -> Int = { 0 },
        val objectiveMs: Long = 150,
        val startByMs: Long = 1_200,
        /** Whether a refused caller returns once, when it was told to. */
        val returns: Boolean = false,
        /** The time after which a response that has not ended is cut off. */
        val endByMs: Long = 60_000
    )

    /** A target that needs [runMs] for a request; [fails] tells when it does not respond. */
    class Target(
        val spec: FleetTarget,
        val runMs: (FleetTicket, Random) -> Double,
        val firstEventMs: (FleetTicket) -> Double = { 0.0 },
        /** The mean event interval of its responses; 0 if it is no engine. */
        val msPerEvent: Double = 0.0,
        val fails: (Long) -> Boolean = { false }
    ) {
        val queue = ArrayDeque<() -> Unit>()
        var running = 0
    }

    /** What became of a request. */
    class Request(
        val load: Load,
        val account: String,
        val arrivedAtMs: Long,
        val isReturn: Boolean = false
    ) {
        var sentAtMs: Long? = null
        var startedAtMs: Long? = null
        var endedAtMs: Long? = null
        var firstEventAtMs: Long? = null

        /** Whether its deadline ended it while it had a slot. */
        var isCutOff = false
        var refusedAtMs: Long? = null

        /** Why it was refused, or `null`. */
        var refusal: String? = null
        val waitMs: Long? get() = startedAtMs?.minus(arrivedAtMs)
        val isOnTime: Boolean
            get() = !isCutOff &&
                (firstEventAtMs?.let { it - arrivedAtMs <= load.objectiveMs } ?: false)
    }

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.order }))
    private val hosts = List(hostCount) { Host(it, seed) }
    private val aggregator = LoadAggregator(reportTimeoutMs = 5_000)
    private val byId = targets.associateBy { it.spec.id }
    private val intervalMs = maxOf(50L, (hostCount * 2.5).toLong())
    private var order = 0L
    private var endMs = 0L
    private var sequence = 0L
    private var nowMs = 0L

    val requests = ArrayList<Request>()

    /** Whether hosts exchange their loads at this time. */
    var isExchanging: (Long) -> Boolean = { true }

    /** Runs until no request that arrived before [untilMs] is in progress. */
    fun run(untilMs: Long, loads: List<Load>) {
        endMs = untilMs
        loads.forEach(::arriveNext)
        at(0, ::exchange)
        at(0, ::decide)
        while (events.isNotEmpty()) {
            val event = events.remove()
            nowMs = event.atMs
            event.action()
        }
    }

    /** Replaces a host by one that has just started. */
    fun restartAt(atMs: Long, index: Int) = at(atMs) { hosts[index].restart() }

    private fun at(atMs: Long, action: () -> Unit) {
        events += Event(atMs, order++, action)
    }

    private fun arriveNext(load: Load) {
        val gapMs = -ln(1 - random.nextDouble()) * 1_000 / load.perSecond(nowMs).coerceAtLeast(0.1)
        val atMs = nowMs + gapMs.toLong() + if (random.nextDouble() < gapMs % 1) 1 else 0
        if (atMs >= endMs) return
        at(atMs) {
            val request = Request(load, load.account(random), nowMs)
            requests += request
            hosts.random(random).admit(request)
            arriveNext(load)
        }
    }

    private fun exchange() {
        if (nowMs > endMs + 3_000) return
        if (isExchanging(nowMs)) {
            hosts.forEach { aggregator.onReport(it.report(), nowMs) }
            hosts.forEach { it.onSummary(aggregator.summaryFor(it.name)) }
            aggregator.onAnnounced()
        }
        at(nowMs + intervalMs, ::exchange)
    }

    private fun decide() {
        if (nowMs > endMs + 3_000) return
        hosts.forEach { it.scheduler.decide(nowMs) }
        at(nowMs + 50, ::decide)
    }

    private class Event(val atMs: Long, val order: Long, val action: () -> Unit)

    private inner class Host(index: Int, private val seed: Long) {
        val name = "h$index"
        private val hostRandom = Random(seed * 1_000 + index)
        private var limiter = QuotaLimiter()
        var scheduler = FleetScheduler("zone-a", hostRandom)
            private set

        init {
            restart()
        }

        fun restart() {
            val shares = AccountShares().apply { updateQuotas(quotas) }
            limiter = QuotaLimiter(shares)
            scheduler = FleetScheduler("zone-a", hostRandom, shares)
            scheduler.updateTargets(targets.map { it.spec })
        }

        fun admit(request: Request) {
            val load = request.load
            val promptTokens = load.promptTokens(random)
            val units = promptTokens.toLong().coerceAtLeast(1)
            val quota = quotas[request.account] ?: 0.0
            if (limiter.tryConsume(request.account, quota, quota, units, nowMs) != null) {
                request.refusedAtMs = nowMs
                request.refusal = "over quota"
                return
            }
            val ticket = FleetTicket(
                sequence++,
                load.service,
                load.priority,
                promptTokens,
                load.events(random),
                dueAtMs = nowMs + load.objectiveMs,
                startByMs = nowMs + load.startByMs,
                account = request.account,
                endByMs = nowMs + load.endByMs
            )
            val current = scheduler
            current.enroll(ticket, nowMs) { decision ->
                when (decision) {
                    is FleetDecision.Send -> send(ticket, decision.targetId, request, current)

                    is FleetDecision.Refuse -> {
                        request.refusedAtMs = nowMs
                        request.refusal = decision.reason
                        limiter.refund(request.account, units)
                        returnLater(request, checkNotNull(decision.retryAfterMs))
                    }
                }
            }
        }

        private fun returnLater(request: Request, retryAfterMs: Long) {
            if (!request.load.returns || request.isReturn) return
            at(nowMs + retryAfterMs) {
                val next = Request(request.load, request.account, nowMs, isReturn = true)
                requests += next
                hosts.random(random).admit(next)
            }
        }

        private fun send(
            ticket: FleetTicket,
            targetId: String,
            request: Request,
            sender: FleetScheduler
        ) {
            val target = byId.getValue(targetId)
            request.sentAtMs = nowMs
            val start = {
                target.running++
                request.startedAtMs = nowMs
                val isLost = target.fails(nowMs)
                val wantedMs =
                    if (isLost) 1 else target.runMs(ticket, random).toLong().coerceAtLeast(1)
                val runMs = minOf(wantedMs, (ticket.endByMs - nowMs).coerceAtLeast(1))
                request.isCutOff = isLost || runMs < wantedMs
                at(nowMs + target.firstEventMs(ticket).toLong()) {
                    request.firstEventAtMs = nowMs
                    sender.onFirstEvent(ticket.sequence, nowMs)
                    val inProgress = target.running + target.queue.size
                    sender.onReportedLoad(ticket.sequence, inProgress, null, nowMs)
                }
                at(nowMs + runMs) {
                    target.running--
                    request.endedAtMs = nowMs
                    val outcome = if (isLost) FleetOutcome.CRASHED else FleetOutcome.ANSWERED
                    sender.release(ticket.sequence, outcome, nowMs, target.msPerEvent)
                    target.queue.removeFirstOrNull()?.invoke()
                }
            }
            if (target.running < target.spec.slots) start() else target.queue += start
        }

        fun report() = LoadReport(
            name,
            scheduler.ownLoads(),
            limiter.takeReport(),
            limiter.ownTotalsAtLastUpdate(),
            slowdowns = scheduler.takeObservedSlowdowns(),
            demands = scheduler.ownDemands(nowMs)
        )

        fun onSummary(summary: LoadSummary) {
            scheduler.hostCount = summary.hostCount
            scheduler.updatePeerLoads(summary.loads, nowMs, intervalMs)
            scheduler.updatePeerDemands(summary.demands)
            scheduler.updateFleetSlowdowns(aggregator.averageSlowdowns())
            limiter.onPeerTotals("aggregator", summary.quotaTotals, nowMs)
            scheduler.decide(nowMs)
        }
    }
}
