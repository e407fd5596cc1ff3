package org.bronzetide.scheduling.fleet

import kotlin.random.Random
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

/**
 * A burst of three seconds beyond the capacity of 98 engines before 78 hosts, whose refused callers
 * return, while a quarter of the engines is lost for two seconds and half of the hosts restart in
 * turn. Guards against an overload that its own returns, queues and estimates keep up.
 */
class BurstRecoveryTest {
    @Example
    fun fleetIsBackAtItsCalmDayWithinThreeSecondsOfABurst() {
        val fleet = run(78)
        val calm = fleet.shareOnTime(1_000 until BURST_FROM_MS)
        val after = fleet.shareOnTime(BURST_END_MS + 3_000 until END_MS)
        assertThat(calm).isGreaterThan(0.9)
        assertThat(after).isGreaterThan(calm - 0.05)
    }

    /** Guards against urgent requests that are served no better than others in a burst. */
    @Example
    fun urgentRequestsSurviveTheBurst() {
        val fleet = run(78)
        val during = fleet.requests.filter { it.arrivedAtMs in BURST_FROM_MS until BURST_END_MS }
        val byPriority = during.groupBy { it.load.priority }.mapValues { (_, requests) ->
            requests.count { it.isOnTime }.toDouble() / requests.size
        }
        assertThat(byPriority.getValue(0)).isGreaterThan(2 * byPriority.getValue(1))
    }

    private fun FleetHarness.shareOnTime(atMs: LongRange): Double {
        val first = requests.filter { !it.isReturn && it.arrivedAtMs in atMs }
        return first.count { it.isOnTime }.toDouble() / first.size
    }

    private fun run(hostCount: Int): FleetHarness {
        val targets = (0 until TARGETS).map { index ->
            val spec = FleetTarget("t$index", "model", "zone-a", SLOTS, false, isEngine = true)
            FleetHarness.Target(
                spec,
                { _, random: Random -> RUN_MS * random.nextDouble(0.5, 1.5) },
                { FIRST_EVENT_MS },
                fails = { nowMs -> index % 4 == 0 && nowMs in LOSS_FROM_MS until LOSS_END_MS }
            )
        }
        val perSecond = TARGETS * SLOTS * 1_000 / RUN_MS * USUAL_LOAD
        val loads = listOf(0 to 0.3, 1 to 0.7).map { (priority, share) ->
            FleetHarness.Load(
                "model",
                { nowMs ->
                    val isBurst = nowMs in BURST_FROM_MS until BURST_END_MS
                    perSecond * share * if (isBurst) BURST_FACTOR else 1.0
                },
                priority = priority,
                events = { 20 },
                objectiveMs = 500,
                startByMs = 2_500,
                returns = true
            )
        }
        val fleet = FleetHarness(hostCount, targets, seed = 1)
        (0 until hostCount step 2).forEach { fleet.restartAt(2_500L + it * 120, it) }
        return fleet.apply { run(END_MS, loads) }
    }

    private companion object {
        const val TARGETS = 98
        const val SLOTS = 6
        const val RUN_MS = 1_000.0
        const val FIRST_EVENT_MS = 100.0
        const val USUAL_LOAD = 0.6
        const val BURST_FACTOR = 4.0
        const val BURST_FROM_MS = 3_000L
        const val BURST_END_MS = 6_000L
        const val LOSS_FROM_MS = 4_000L
        const val LOSS_END_MS = 6_000L
        const val END_MS = 14_000L
    }
}
