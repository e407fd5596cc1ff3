package org.bronzetide.scheduling.fleet

import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

/**
 * Long and short streams at 98 engines that differ in speed by 0.55 to 2.8 times, before 78 hosts.
 * Guards against long streams at engines on which they cannot end before their deadline, which hold
 * a slot for seconds in vain.
 */
class UnevenTargetsTest {
    @Example
    fun ordinaryLoadIsServedOnTime() {
        val fleet = run(load = 0.7)
        assertThat(fleet.shareOnTime()).isGreaterThan(0.9)
    }

    @Example
    fun fewSlotsAreHeldByStreamsThatTheirDeadlineEnds() {
        val fleet = run(load = 1.2)
        val heldMs = fleet.requests.sumOf { it.slotMs }
        val vainMs = fleet.requests.filter { it.isCutOff }.sumOf { it.slotMs }
        assertThat(vainMs.toDouble() / heldMs).isLessThan(0.1)
    }

    private fun FleetHarness.shareOnTime() =
        requests.count { it.isOnTime }.toDouble() / requests.size

    private val FleetHarness.Request.slotMs: Long
        get() = startedAtMs?.let { (endedAtMs ?: it) - it } ?: 0

    private fun run(load: Double): FleetHarness {
        val targets = (0 until TARGETS).map { index ->
            val speed = SPEEDS[index % SPEEDS.size]
            val spec = FleetTarget("t$index", "model", "zone-a", SLOTS, false, isEngine = true)
            FleetHarness.Target(
                spec,
                { ticket, random ->
                    val events = ticket.expectedEvents * exp(0.5 * random.gaussian())
                    speed * (FIRST_MS + ticket.promptTokens * MS_PER_TOKEN + events * MS_PER_EVENT)
                },
                { ticket -> speed * (FIRST_MS + ticket.promptTokens * MS_PER_TOKEN) },
                speed * MS_PER_EVENT
            )
        }
        val capacity = SPEEDS.sumOf { TARGETS / SPEEDS.size * SLOTS * 1_000 / (it * MEAN_RUN_MS) }
        val perSecond = load * capacity / 2
        val loads = listOf(
            FleetHarness.Load(
                "model",
                { perSecond },
                priority = 0,
                promptTokens = { it.spread(6_600.0, 1.0, 54_000.0) },
                events = { it.spread(42.0, 1.0, 420.0) },
                objectiveMs = 800,
                startByMs = 2_800,
                endByMs = 12_000
            ),
            FleetHarness.Load(
                "model",
                { perSecond },
                priority = 1,
                promptTokens = { it.spread(628.0, 0.8, 3_300.0) },
                events = { it.spread(32.0, 1.0, 320.0) },
                objectiveMs = 300,
                startByMs = 1_850,
                endByMs = 10_000
            )
        )
        return FleetHarness(78, targets, seed = 1).apply { run(END_MS, loads) }
    }

    /** A number whose logarithm is spread by [sigma], with the mean [mean]. */
    private fun Random.spread(mean: Double, sigma: Double, max: Double): Int =
        (mean * exp(sigma * gaussian() - sigma * sigma / 2)).coerceIn(1.0, max).toInt()

    private fun Random.gaussian() = asJavaRandom().nextGaussian()

    private companion object {
        val SPEEDS = listOf(0.55, 1.0, 2.8)
        const val TARGETS = 98
        const val SLOTS = 6
        const val FIRST_MS = 60.0
        const val MS_PER_TOKEN = 0.0176
        const val MS_PER_EVENT = 31.0

        /** Of both kinds of streams together, at an engine of usual speed. */
        const val MEAN_RUN_MS = 1_290.0
        const val END_MS = 15_000L
    }
}
