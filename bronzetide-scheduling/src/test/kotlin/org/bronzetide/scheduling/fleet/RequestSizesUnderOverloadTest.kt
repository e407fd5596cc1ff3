package org.bronzetide.scheduling.fleet

import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

/**
 * Requests with prompts of 300 to 30,000 tokens at engines of limited capacity. Guards against a
 * queue that serves small requests at the expense of large ones, or the reverse.
 */
class RequestSizesUnderOverloadTest {
    /** Guards against prompts whose length makes them late, deferred and refused. */
    @Example
    fun steadyOverloadOfUpToThreeTimesTheCapacityIsSharedBySize() =
        listOf(1.5, 2.0, 3.0).forEach { load ->
            val arrivals = simulate(Stream(load))
            assertThat(arrivals.shareSent()).isBetween(0.9 / load, 1.1 / load)
            assertShared(arrivals)
            val onTimeOfLargest = arrivals.largestTenth().shareOnTime()
            assertThat(onTimeOfLargest).isGreaterThan(arrivals.shareOnTime() / 2)
        }

    /** Guards against the same where a more urgent route overtakes. */
    @Example
    fun overloadOfTwoPrioritiesIsSharedBySizeWithinEach() {
        val arrivals = simulate(Stream(0.9, priority = 0), Stream(1.1, priority = 2))
        val byPriority = arrivals.groupBy { it.ticket.priority }
        byPriority.values.forEach(::assertShared)
        assertThat(byPriority.getValue(0).shareSent())
            .isGreaterThan(byPriority.getValue(2).shareSent())
    }

    /** Guards against the same, and against the overload of one service shedding for another. */
    @Example
    fun overloadOfOneServiceIsSharedBySizeAndLeavesAnotherAlone() {
        val arrivals = simulate(Stream(2.0), Stream(0.5, service = "other"))
        val byService = arrivals.groupBy { it.ticket.service }
        assertShared(byService.getValue("model"))
        assertThat(byService.getValue("other")).allMatch { it.isSent }
    }

    /** Guards against a queue that sheds what it could still have served on time. */
    @Example
    fun burstThatFitsTheObjectiveIsServedOnTime() {
        val stream = Stream(0.6, burstMs = 800, objectiveMs = 1_500, promptTokens = 300..3_000)
        assertThat(simulate(stream).shareOnTime()).isGreaterThan(0.97)
    }

    /** Guards against shedding without an overload. */
    @Example
    fun nothingIsRefusedAtLowLoad() {
        assertThat(simulate(Stream(0.5))).allMatch { it.isSent }
    }

    private fun assertShared(arrivals: List<Arrival>) {
        val least = arrivals.shareSent() * MIN_RATIO
        assertThat(arrivals.largestTenth().shareSent()).isGreaterThan(least)
        assertThat(arrivals.smallestTenth().shareSent()).isGreaterThan(least)
    }

    private fun simulate(vararg streams: Stream) = SEEDS.flatMap { Simulation(it).run(*streams) }

    private fun List<Arrival>.largestTenth() =
        sortedByDescending { it.ticket.promptTokens }.take(size / 10)

    private fun List<Arrival>.smallestTenth() = sortedBy { it.ticket.promptTokens }.take(size / 10)

    private fun List<Arrival>.shareSent() = count { it.isSent }.toDouble() / size

    private fun List<Arrival>.shareOnTime() = count { it.isOnTime }.toDouble() / size

    private class Arrival(val ticket: FleetTicket) {
        var isSent = false
        var isOnTime = false
    }

    /** Requests at [load] times the capacity of their service. */
    private class Stream(
        val load: Double,
        val priority: Int = 1,
        val service: String = "model",
        val objectiveMs: Long = 800,
        val burstMs: Long = 0,
        val promptTokens: IntRange = 300..30_000
    ) {
        fun loadAt(nowMs: Long) = if (nowMs % BURST_INTERVAL_MS < burstMs) BURST_LOAD else load

        fun drawPromptTokens(random: Random): Int {
            val least = ln(promptTokens.first.toDouble())
            val most = ln(promptTokens.last.toDouble())
            return exp(random.nextDouble(least, most)).toInt()
        }
    }

    /** A scheduler with engines that read the prompts of their requests one after the other. */
    private class Simulation(seed: Long) {
        private val random = Random(seed)
        private val scheduler = FleetScheduler("zone-a", Random(seed))
        private val events = PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })
        private val readingUntilMs = HashMap<String, Double>()
        private val arrivals = ArrayList<Arrival>()
        private var nowMs = 0L

        fun run(vararg streams: Stream): List<Arrival> {
            scheduler.updateTargets(
                streams.map { it.service }.distinct().flatMap { service ->
                    (1..TARGETS).map {
                        FleetTarget("$service$it", service, "zone-a", SLOTS, false, isEngine = true)
                    }
                }
            )
            streams.forEach(::arriveNext)
            at(0, ::decideRegularly)
            while (events.isNotEmpty()) {
                val (atMs, event) = events.remove()
                nowMs = atMs
                event()
            }
            return arrivals
        }

        private fun at(atMs: Long, event: () -> Unit) {
            events += atMs to event
        }

        private fun decideRegularly() {
            scheduler.decide(nowMs)
            if (nowMs < END_MS || scheduler.waitingCount > 0) at(nowMs + 50, ::decideRegularly)
        }

        private fun arriveNext(stream: Stream) {
            val perMs = stream.loadAt(nowMs) * TARGETS * SLOTS / TYPICAL_RUN_MS
            val gapMs = -ln(1 - random.nextDouble()) / perMs
            at(nowMs + gapMs.toLong() + if (random.nextDouble() < gapMs % 1) 1 else 0) {
                if (nowMs < END_MS) {
                    enroll(stream)
                    arriveNext(stream)
                }
            }
        }

        private fun enroll(stream: Stream) {
            val sequence = arrivals.size.toLong()
            val ticket = FleetTicket(
                sequence,
                stream.service,
                stream.priority,
                stream.drawPromptTokens(random),
                expectedEvents = EVENTS,
                dueAtMs = nowMs + stream.objectiveMs,
                startByMs = nowMs + START_BY_MS
            )
            val arrival = Arrival(ticket).also { arrivals += it }
            scheduler.enroll(ticket, nowMs) { if (it is FleetDecision.Send) send(arrival, it) }
        }

        private fun send(arrival: Arrival, decision: FleetDecision.Send) {
            arrival.isSent = true
            val sequence = arrival.ticket.sequence
            val startMs = maxOf(nowMs.toDouble(), readingUntilMs[decision.targetId] ?: 0.0)
            val readAtMs = startMs + arrival.ticket.promptTokens * MS_PER_TOKEN
            readingUntilMs[decision.targetId] = readAtMs
            val firstEventAtMs = (readAtMs + FIXED_MS).toLong()
            arrival.isOnTime = firstEventAtMs <= arrival.ticket.dueAtMs
            at(firstEventAtMs) { scheduler.onFirstEvent(sequence, nowMs) }
            at(firstEventAtMs + EVENTS * MS_PER_EVENT.toLong()) {
                scheduler.release(sequence, FleetOutcome.ANSWERED, nowMs, MS_PER_EVENT)
            }
        }
    }

    private companion object {
        val SEEDS = 1L..5L

        /** The largest and the smallest tenth are sent at least so often, in proportion to all. */
        const val MIN_RATIO = 0.8
        const val TARGETS = 4
        const val SLOTS = 11
        const val EVENTS = 60
        const val MS_PER_EVENT = 25.0
        const val FIXED_MS = 60.0
        const val MS_PER_TOKEN = 0.0122
        const val TYPICAL_RUN_MS = 1_700.0
        const val START_BY_MS = 2_800L
        const val BURST_LOAD = 2.5
        const val BURST_INTERVAL_MS = 4_000L
        const val END_MS = 30_000L
    }
}
