package org.bronzetide.scheduling.fleet

import kotlin.random.Random
import net.jqwik.api.Disabled
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

/**
 * Accounts that send six times their usual, of one priority, through all hosts of a fleet whose
 * targets have room for little more than the usual. Guards against accounts that crowd out others.
 */
class AccountFloodTest {
    @Example
    fun accountsBelowTheirShareAreServedAsOnACalmDayBesideAFlood() {
        for (hostCount in listOf(8, 78)) assertServedAsOnACalmDay(hostCount, floodCount = 1)
    }

    @Disabled("in KNOWN-RED.txt: at 78 hosts up to 0.12 less than on a calm day")
    @Example
    fun accountsBelowTheirShareAreServedAsOnACalmDayBesideTwoAndThreeFloods() {
        for (hostCount in listOf(8, 78)) {
            for (floodCount in 2..3) assertServedAsOnACalmDay(hostCount, floodCount)
        }
    }

    @Disabled("in KNOWN-RED.txt: at 300 hosts, quotas refuse accounts that stay below them")
    @Example
    fun accountsBelowTheirShareAreServedAsOnACalmDayInAFleetOf300Hosts() {
        assertServedAsOnACalmDay(300, floodCount = 1)
    }

    /** Guards against decisions that only work while all accounts are known by many requests. */
    @Example
    fun thousandAccountsGetMoreThanThoseThatFlood() {
        val fleet = run(78, floodCount = 3, accountCount = 1_000)
        val flood = fleet.requests.filter { it.account.drop(1).toInt() < 3 && it.isInFlood }
        val shareOfFlood = flood.count { it.isOnTime }.toDouble() / flood.size
        assertThat(shareOnTime(fleet, 3)).isGreaterThan(2 * shareOfFlood)
    }

    /** Guards against shares that leave room unused while only one account asks for it. */
    @Example
    fun roomThatOthersLeaveIsUsedByAnAccountAboveItsShare() {
        val fleet = run(8, floodCount = 1, usualLoad = 0.3, quotaFactor = 10.0)
        val flood = fleet.requests.filter { it.account == "a0" }
        assertThat(flood.count { it.startedAtMs != null }.toDouble() / flood.size)
            .isGreaterThan(0.9)
    }

    private fun assertServedAsOnACalmDay(hostCount: Int, floodCount: Int) {
        val calm = shareOnTime(run(hostCount, floodCount = 0), floodCount)
        val flooded = shareOnTime(run(hostCount, floodCount), floodCount)
        assertThat(flooded).describedAs("%s hosts, %s floods", hostCount, floodCount)
            .isGreaterThan(calm - 0.05)
    }

    private val FleetHarness.Request.isInFlood: Boolean get() = arrivedAtMs >= FLOOD_FROM_MS

    private fun run(
        hostCount: Int,
        floodCount: Int,
        accountCount: Int = 16,
        usualLoad: Double = 0.8,
        quotaFactor: Double = 1.8
    ): FleetHarness {
        val targetCount = 60
        val capacity = targetCount * SLOTS * 1_000 / RUN_MS
        val usualPerSecond = capacity * usualLoad
        // Accounts differ in size; the first three have an eighth of the requests each.
        val sizes = (0 until accountCount).map { if (it < 3) 0.125 else 0.625 / (accountCount - 3) }
        val quotas = sizes.withIndex().associate { (index, size) ->
            "a$index" to usualPerSecond * size * PROMPT_TOKENS * quotaFactor
        }
        val targets = (1..targetCount).map {
            val spec = FleetTarget("t$it", "model", "zone-a", SLOTS, false, isEngine = true)
            FleetHarness.Target(spec, { _, random -> RUN_MS * random.nextDouble(0.5, 1.5) })
        }
        val loads = sizes.mapIndexed { index, size ->
            FleetHarness.Load(
                "model",
                { nowMs ->
                    val isFlood = index < floodCount && nowMs >= FLOOD_FROM_MS
                    usualPerSecond * size * if (isFlood) 6 else 1
                },
                account = { _: Random -> "a$index" },
                promptTokens = { PROMPT_TOKENS },
                events = { 20 },
                objectiveMs = 800,
                startByMs = 2_500
            )
        }
        return FleetHarness(hostCount, targets, seed = 1, quotas)
            .apply { run(FLOOD_FROM_MS + FLOOD_MS, loads) }
    }

    /** The share that starts on time, of the requests of accounts that do not flood. */
    private fun shareOnTime(fleet: FleetHarness, floodCount: Int): Double {
        val others = fleet.requests.filter {
            it.isInFlood && it.account.drop(1).toInt() >= floodCount
        }
        return others.count { it.isOnTime }.toDouble() / others.size
    }

    private companion object {
        const val SLOTS = 6
        const val RUN_MS = 1_000.0
        const val PROMPT_TOKENS = 2_000
        const val FLOOD_FROM_MS = 3_000L
        const val FLOOD_MS = 6_000L
    }
}
