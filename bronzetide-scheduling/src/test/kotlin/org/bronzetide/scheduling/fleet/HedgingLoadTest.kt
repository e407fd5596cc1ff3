package org.bronzetide.scheduling.fleet

import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

/**
 * Load pattern: 98 targets with 6 slots, of which 3 take twelve times as long until the first event
 * as the others. Requests arrive at random, at 0.4 times the capacity or at 1.3 times. Guards
 * against hedging that does not shorten the tail, and against hedges that load a full service.
 */
class HedgingLoadTest {
    @Example
    fun atModerateLoadHedgesAvoidTheSlowTargets() {
        val without = Simulation(share("0")).apply { run(MODERATE_LOAD, REQUESTS) }
        val with = Simulation(share("0.05")).apply { run(MODERATE_LOAD, REQUESTS) }
        assertThat(without.hedges).isZero()
        assertThat(with.hedges).isBetween(REQUESTS / 40, REQUESTS / 20)
        // The scheduler itself keeps all but 1% of the requests away from the slow targets.
        assertThat(with.firstEventMs(0.995)).isLessThan(without.firstEventMs(0.995) / 2)
        assertThat(with.firstEventMs(0.998)).isLessThan(without.firstEventMs(0.998) / 2)
        assertThat(with.firstEventMs(0.5)).isLessThanOrEqualTo(without.firstEventMs(0.5) * 1.05)
        assertThat(with.unanswered).isZero()
    }

    @Example
    fun noMoreRequestsAreHedgedThanTheShare() {
        val simulation = Simulation(share("0.01")).apply { run(MODERATE_LOAD, REQUESTS) }
        assertThat(simulation.hedges).isBetween(REQUESTS / 200, REQUESTS / 100)
    }

    @Example
    fun atFullLoadNoHedgeIsSent() {
        val simulation = Simulation(share("0.05")).apply { run(MODERATE_LOAD, REQUESTS / 2) }
        simulation.run(FULL_LOAD, REQUESTS / 4)
        val hedgesUntilFull = simulation.hedges
        val refusedUntilFull = simulation.refusedHedges
        simulation.run(FULL_LOAD, REQUESTS)
        assertThat(simulation.hedges).isEqualTo(hedgesUntilFull)
        assertThat(simulation.refusedHedges).isGreaterThan(refusedUntilFull + 10)
    }

    private fun share(text: String) = checkNotNull(HedgingShare.parseOrNull(text))

    /** One host with its targets; a request's other runs end when one has responded. */
    private class Simulation(share: HedgingShare) {
        private val random = Random(7)
        private val scheduler = FleetScheduler("z1", random)
        private val policy = HedgingPolicy(share)
        private val budget = WindowedRetryBudget(0.2, 56.0, 10_000) { 1 }
        private val events = PriorityQueue<Event>(compareBy<Event> { it.atMs }.thenBy { it.order })
        private val firstEventsMs = ArrayList<Long>()
        private var nowMs = 0L
        private var order = 0
        private var sequences = 0L
        var hedges = 0
            private set
        var refusedHedges = 0
            private set
        var unanswered = 0
            private set

        init {
            scheduler.updateTargets(
                List(TARGETS) {
                    FleetTarget("t$it", SERVICE, "z1", SLOTS, isLeaving = false, isEngine = true)
                }
            )
        }

        fun firstEventMs(quantile: Double): Double =
            firstEventsMs.sorted()[(firstEventsMs.size * quantile).toInt()].toDouble()

        /** Lets [requests] arrive at [load] times the capacity, and runs until the last one did. */
        fun run(load: Double, requests: Int) {
            val intervalMs = (FIRST_EVENT_MS + OUTPUT_MS) / (TARGETS * SLOTS * load)
            var arrivalMs = nowMs.toDouble()
            repeat(requests) {
                arrivalMs += -ln(1 - random.nextDouble()) * intervalMs
                at(arrivalMs.toLong()) { arrive() }
            }
            val endMs = arrivalMs.toLong()
            while (events.isNotEmpty() && events.first().atMs <= endMs) {
                val event = events.remove()
                nowMs = event.atMs
                event.action()
            }
        }

        private fun at(atMs: Long, action: () -> Unit) {
            events += Event(atMs, order++, action)
        }

        private fun arrive() {
            policy.onRequest(SERVICE)
            budget.onRequest(SERVICE, nowMs)
            val request = Request(nowMs)
            val ticket = newTicket(emptySet())
            scheduler.enroll(ticket, nowMs) { decision ->
                when (decision) {
                    is FleetDecision.Send -> sendFirst(request, ticket, decision.targetId)
                    is FleetDecision.Refuse -> unanswered++
                }
            }
        }

        private fun sendFirst(request: Request, ticket: FleetTicket, targetId: String) {
            request.sentAtMs = nowMs
            policy.hedgeAfterMs(SERVICE, PROMPT_TOKENS)?.let { afterMs ->
                at(nowMs + afterMs) { if (!request.isAnswered) hedge(request, targetId) }
            }
            send(request, ticket, targetId)
        }

        private fun hedge(request: Request, firstId: String) {
            val ticket = newTicket(setOf(firstId))
            val hasSpareSlot = scheduler.hasSpareSlot(ticket, nowMs)
            val decision = policy.decide(SERVICE, hasSpareSlot) { budget.tryRetry(SERVICE, nowMs) }
            if (decision != HedgingDecision.SEND) {
                refusedHedges++
                return
            }
            check(scheduler.waitingCount == 0) { "hedge while requests wait" }
            scheduler.enroll(ticket, nowMs) {
                hedges++
                send(request, ticket, (it as FleetDecision.Send).targetId)
            }
        }

        private fun send(request: Request, ticket: FleetTicket, targetId: String) {
            request.runs += ticket.sequence
            val slowness = if (targetId in slowTargets) SLOW_FACTOR else 1.0
            val firstMs = (FIRST_EVENT_MS * slowness * random.nextDouble(0.7, 1.3)).toLong()
            at(nowMs + firstMs) { if (!request.isAnswered) onFirstEvent(request, ticket.sequence) }
        }

        private fun onFirstEvent(request: Request, winner: Long) {
            request.isAnswered = true
            firstEventsMs += nowMs - request.arrivedAtMs
            policy.onFirstEvent(SERVICE, PROMPT_TOKENS, nowMs - request.sentAtMs)
            scheduler.onFirstEvent(winner, nowMs)
            request.runs.filter { it != winner }
                .forEach { scheduler.release(it, FleetOutcome.CANCELLED, nowMs) }
            at(nowMs + OUTPUT_MS) { scheduler.release(winner, FleetOutcome.ANSWERED, nowMs) }
        }

        private fun newTicket(avoid: Set<String>) = FleetTicket(
            sequences++,
            SERVICE,
            priority = 1,
            PROMPT_TOKENS,
            expectedEvents = 0,
            dueAtMs = nowMs + 1_000,
            startByMs = nowMs + 2_000,
            avoid
        )

        private class Request(val arrivedAtMs: Long) {
            val runs = ArrayList<Long>()
            var sentAtMs = 0L
            var isAnswered = false
        }

        private class Event(val atMs: Long, val order: Int, val action: () -> Unit)
    }

    private companion object {
        const val SERVICE = "model"
        const val REQUESTS = 8_000
        const val MODERATE_LOAD = 0.4
        const val FULL_LOAD = 1.3
        const val TARGETS = 98
        const val SLOTS = 6
        const val PROMPT_TOKENS = 600
        const val FIRST_EVENT_MS = 60
        const val OUTPUT_MS = 400
        const val SLOW_FACTOR = 12.0
        val slowTargets = setOf("t10", "t40", "t70")
    }
}
