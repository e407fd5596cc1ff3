package org.bronzetide.scheduling.fleet

import kotlin.random.Random
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.assertj.core.api.Assertions.assertThat
import org.assertj.core.data.Offset

/** A burst that reaches some hosts more than others, each with a queue of its own. */
class SlotSharesTest {
    @Example
    fun slotsGoToTheMostUrgentRequestsOfAllHosts() {
        val shares = SlotShares(slots = 10.0, own = mapOf(2 to 20), peers = mapOf(0 to 8, 2 to 20))
        assertThat(shares.upTo(2)).isEqualTo(1.0, Offset.offset(1e-9))
    }

    @Example
    fun hostWithMoreCallersHasMoreSlots() {
        val shares = SlotShares(slots = 10.0, own = mapOf(0 to 30), peers = mapOf(0 to 10))
        assertThat(shares.upTo(0)).isEqualTo(7.5, Offset.offset(1e-9))
    }

    @Example
    fun demandWithinTheSlotsIsNotLimited() {
        val shares = SlotShares(slots = 10.0, own = mapOf(0 to 3, 1 to 2), peers = mapOf(0 to 5))
        assertThat(shares.upTo(1)).isEqualTo(5.0, Offset.offset(1e-9))
    }

    @Property(tries = 300)
    fun sharesOfAllHostsNeverExceedTheSlots(
        @ForAll seed: Long,
        @ForAll @IntRange(min = 1, max = 60) slots: Int
    ) {
        val random = Random(seed)
        val demands = List(random.nextInt(1, 12)) {
            (0..3).associateWith { random.nextInt(20) }
        }
        val sum = demands.sumOf { own ->
            val peers = (0..3).associateWith { rank ->
                demands.sumOf { it.getValue(rank) } - own.getValue(rank)
            }
            SlotShares(slots.toDouble(), own, peers).upTo(3)
        }
        val total = demands.sumOf { it.values.sum() }
        assertThat(sum).isEqualTo(minOf(slots, total).toDouble(), Offset.offset(1e-6))
    }

    /**
     * One host has all slots when a burst begins at another one. The host may not give each slot
     * that it sees free to its own less urgent requests.
     */
    @Example
    fun hostLeavesFreeSlotsToMoreUrgentRequestsOfOthers() {
        val scheduler = FleetScheduler("zone-a", Random(1))
        val sent = ArrayList<Long>()
        scheduler.updateTargets(listOf(FleetTarget("t1", "model", "zone-a", 8, false, true)))
        (1L..20L).forEach { id ->
            val ticket = FleetTicket(id, "model", 2, 500, 50, dueAtMs = 10_000, startByMs = 10_000)
            scheduler.enroll(ticket, 0) { if (it is FleetDecision.Send) sent += id }
        }
        assertThat(sent).hasSize(8)
        scheduler.updatePeerDemands(mapOf("model" to mapOf(0 to 6)))
        (1L..6L).forEach { scheduler.release(it, FleetOutcome.ANSWERED, 100) }
        assertThat(sent).hasSizeBetween(8, 9)
        scheduler.updatePeerDemands(emptyMap())
        scheduler.decide(200)
        assertThat(sent).hasSize(14)
    }
}
