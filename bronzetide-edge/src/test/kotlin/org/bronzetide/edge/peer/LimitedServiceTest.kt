package org.bronzetide.edge.peer

import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.assertj.core.api.Assertions.assertThat
import org.assertj.core.api.SoftAssertions
import org.bronzetide.scheduling.fleet.FleetDecision
import org.bronzetide.scheduling.fleet.FleetOutcome
import org.bronzetide.scheduling.fleet.FleetTicket

/** What a service serves while some of its targets name limits and the others none. */
class LimitedServiceTest {
    /** Guards against requests that are refused while targets without a limit are free. */
    @Property(tries = 1)
    fun targetsWithALimitTakeNothingFromTheOthers(@ForAll seed: Long) =
        forEachSizeAndLoad(0.7, 1.0) { hostCount, load ->
            val without = servedCount(seed, hostCount, load, limitedCount = 0)
            val with = servedCount(seed, hostCount, load, LIMITED_COUNT)
            assertThat(with).isGreaterThanOrEqualTo((0.98 * without).toInt())
        }

    /** Guards against limited targets that are idle while requests are refused. */
    @Property(tries = 1)
    fun targetsWithALimitServeWhatTheyTakeBesideFullOnes(@ForAll seed: Long) =
        forEachSizeAndLoad(1.5) { hostCount, load ->
            val without = servedCount(seed, hostCount, load, limitedCount = 0)
            val with = servedCount(seed, hostCount, load, LIMITED_COUNT)
            val allowed = LIMITED_COUNT * LIMIT_PER_S * COUNTED_MS / 1_000
            assertThat(with).isGreaterThanOrEqualTo(without + (0.8 * allowed).toInt())
        }

    private fun forEachSizeAndLoad(
        vararg loads: Double,
        scenario: (hostCount: Int, load: Double) -> Unit
    ) {
        val softly = SoftAssertions()
        for (hostCount in listOf(8, 72)) {
            loads.forEach { load -> softly.check { scenario(hostCount, load) } }
        }
        softly.assertAll()
    }

    /** The number of served requests, with [load] times what the targets without a limit take. */
    private fun servedCount(seed: Long, hostCount: Int, load: Double, limitedCount: Int): Int {
        val network = PeerNetwork(seed)
        network.startHosts(hostCount)
        val limited = List(limitedCount) { "limited-$it" }.toSet()
        val ids = limited + List(UNLIMITED_COUNT) { "unlimited-$it" }
        network.hosts.forEach { host ->
            host.scheduler.updateTargets(ids.map { host.target.copy(id = it, slots = SLOTS) })
        }
        network.run(5_000)
        val perSecond = load * UNLIMITED_COUNT * SLOTS * 1_000 / RUN_MS
        val traffic = Traffic(network, limited, Random(seed), perSecond)
        traffic.run(4_000)
        traffic.servedCount = 0
        traffic.run(COUNTED_MS)
        return traffic.servedCount
    }

    /** Requests that arrive at random on all hosts alike and run for [RUN_MS] at a target. */
    private class Traffic(
        private val network: PeerNetwork,
        private val limited: Set<String>,
        private val random: Random,
        private val perSecond: Double
    ) {
        var servedCount = 0
        private val targets = HashMap<String, Target>()
        private val pending = PriorityQueue<Event>(compareBy { it.atMs })
        private var sequences = 1_000_000L
        private var nextArrivalMs = network.clock.nowMs().toDouble()

        private class Event(val atMs: Long, val run: () -> Unit)

        private class Target {
            var runningCount = 0
            val waiting = ArrayDeque<() -> Unit>()
        }

        fun run(durationMs: Long) = repeat((durationMs / PeerNetwork.STEP_MS).toInt()) {
            network.run(PeerNetwork.STEP_MS)
            val nowMs = network.clock.nowMs()
            while (pending.isNotEmpty() && pending.peek().atMs <= nowMs) pending.poll().run()
            while (nextArrivalMs <= nowMs) {
                enroll(network.hosts.random(random))
                nextArrivalMs += -ln(1 - random.nextDouble()) * 1_000 / perSecond
            }
            if (nowMs % DECISION_INTERVAL_MS == 0L) {
                network.hosts.forEach { it.scheduler.decide(nowMs) }
            }
        }

        private fun enroll(host: PeerNetwork.Host) {
            val sequence = ++sequences
            val nowMs = network.clock.nowMs()
            val ticket = FleetTicket(sequence, "model", 0, 10, 1, nowMs + 800, nowMs + 1_200)
            host.scheduler.enroll(ticket, nowMs) { decision ->
                if (decision is FleetDecision.Send) {
                    later(WAY_MS) { arrive(host, sequence, decision.targetId) }
                }
            }
        }

        private fun arrive(host: PeerNetwork.Host, sequence: Long, id: String) {
            val target = targets.getOrPut(id) { Target() }
            target.waiting += { start(host, sequence, id, target) }
            startNext(target)
        }

        private fun startNext(target: Target) {
            if (target.runningCount == SLOTS) return
            val next = target.waiting.removeFirstOrNull() ?: return
            target.runningCount++
            next()
        }

        private fun start(host: PeerNetwork.Host, sequence: Long, id: String, target: Target) {
            later(WAY_MS) {
                val perSecond = LIMIT_PER_S.takeIf { id in limited }
                host.scheduler.onLimit(sequence, perSecond, network.clock.nowMs())
                host.scheduler.onFirstEvent(sequence, network.clock.nowMs())
            }
            later(RUN_MS) {
                target.runningCount--
                startNext(target)
            }
            later(RUN_MS + WAY_MS) {
                servedCount++
                host.scheduler.release(sequence, FleetOutcome.ANSWERED, network.clock.nowMs())
            }
        }

        private fun later(delayMs: Long, run: () -> Unit) {
            pending += Event(network.clock.nowMs() + delayMs, run)
        }
    }

    private companion object {
        const val LIMITED_COUNT = 4
        const val LIMIT_PER_S = 1.0
        const val UNLIMITED_COUNT = 12
        const val SLOTS = 4
        const val RUN_MS = 1_500L
        const val COUNTED_MS = 20_000L
        const val WAY_MS = 10L
        const val DECISION_INTERVAL_MS = 50L
    }
}
