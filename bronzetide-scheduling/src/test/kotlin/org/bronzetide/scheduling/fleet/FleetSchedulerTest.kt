package org.bronzetide.scheduling.fleet

import kotlin.random.Random
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.assertj.core.api.Assertions.assertThat
import org.assertj.core.api.Assertions.assertThatThrownBy

class FleetSchedulerTest {
    private val scheduler = FleetScheduler("zone-a", Random(1))
    private val sent = LinkedHashMap<Long, FleetDecision>()

    @Example
    fun urgentRequestsAreSentFirstWhenASlotBecomesFree() {
        scheduler.updateTargets(listOf(target("t1", slots = 1)))
        enroll(1, priority = 2)
        enroll(2, priority = 2)
        enroll(3, priority = 0)
        assertThat(sent.keys).containsExactly(1L)
        scheduler.release(1, FleetOutcome.ANSWERED, 10)
        assertThat(sent.keys).containsExactly(1L, 3L)
    }

    @Example
    fun targetsWithoutFreeSlotsGetNoRequests() {
        scheduler.updateTargets(listOf(target("t1", slots = 2)))
        (1L..5L).forEach { enroll(it) }
        assertThat(sent).hasSize(2)
        assertThat(scheduler.waitingCount).isEqualTo(3)
    }

    @Example
    fun loadsOfPeersAreIncluded() {
        scheduler.updateTargets(listOf(target("t1", slots = 4), target("t2", slots = 4)))
        scheduler.updatePeerLoads(mapOf("t1" to FleetScheduler.PeerLoad(4, 0)))
        (1L..4L).forEach { enroll(it) }
        assertThat(sent.values).allMatch { it is FleetDecision.Send && it.targetId == "t2" }
    }

    @Example
    fun requestIsRefusedOnceItCannotStartInTime() {
        scheduler.updateTargets(listOf(target("t1", slots = 1)))
        enroll(1)
        enroll(2, startByMs = 100)
        scheduler.decide(101)
        assertThat(sent[2]).isInstanceOf(FleetDecision.Refuse::class.java)
        scheduler.release(1, FleetOutcome.ANSWERED, 102)
        assertThat(scheduler.runningCount).isZero()
    }

    @Example
    fun leavingTargetsGetNoNewWork() {
        scheduler.updateTargets(listOf(target("t1", isLeaving = true), target("t2")))
        (1L..4L).forEach { enroll(it) }
        assertThat(sent.values).allMatch { it is FleetDecision.Send && it.targetId == "t2" }
    }

    @Example
    fun restingTargetGetsNoNewWorkUntilItsTimeIsOver() {
        scheduler.updateTargets(listOf(target("t1"), target("t2")))
        enroll(1)
        val resting = (sent.getValue(1) as FleetDecision.Send).targetId
        scheduler.onRest(1, 2_000)
        scheduler.release(1, FleetOutcome.REFUSED, 10)
        (2L..7L).forEach { enroll(it) }
        assertThat(sent.values.drop(1)).hasSize(6)
            .noneMatch { it is FleetDecision.Send && it.targetId == resting }
        (2L..7L).forEach { scheduler.release(it, FleetOutcome.ANSWERED, 1_900) }
        scheduler.decide(2_000)
        (8L..23L).forEach { scheduler.enroll(ticket(it, 1, 10_000), 2_000) { d -> sent[it] = d } }
        assertThat(sent.values.drop(7))
            .anyMatch { it is FleetDecision.Send && it.targetId == resting }
    }

    /** Guards against requests that wait although they cannot start before all targets return. */
    @Example
    fun whileAllTargetsRestOnlyRequestsThatCanWaitDoAndReturnByUrgency() {
        scheduler.updateTargets(listOf(target("t1", slots = 1)))
        enroll(1)
        scheduler.onRest(1, 2_000)
        scheduler.release(1, FleetOutcome.REFUSED, 10)
        enroll(2, startByMs = 1_500)
        assertThat((sent[2] as FleetDecision.Refuse).retryAfterMs).isBetween(1_900, 3_100)
        enroll(3, priority = 2)
        enroll(4, priority = 0)
        scheduler.decide(1_999)
        assertThat(sent.keys).containsExactly(1L, 2L)
        scheduler.decide(2_000)
        assertThat(sent.keys).containsExactly(1L, 2L, 4L)
    }

    @Example
    fun failingTargetIsEjectedButNeverAllOfThem() {
        scheduler.updateTargets(listOf(target("t1"), target("t2")))
        var sequence = 0L
        repeat(20) {
            enroll(++sequence)
            scheduler.release(sequence, FleetOutcome.FAILED, 0)
        }
        enroll(++sequence)
        assertThat(sent[sequence]).isInstanceOf(FleetDecision.Send::class.java)
    }

    /** 64 hosts with the same outdated loads of 40 targets must not all choose the same one. */
    @Example
    fun hostsWithTheSameOldLoadsSpreadOverTheTargets() {
        val chosen = HashMap<String, Int>()
        repeat(64) { host ->
            val subject = FleetScheduler("zone-a", Random(host)).apply { hostCount = 64 }
            subject.updateTargets((1..40).map { target("t$it", slots = 10) })
            subject.updatePeerLoads(
                (1..40).associate { "t$it" to FleetScheduler.PeerLoad(5, it * 9L) }
            )
            subject.enroll(ticket(1, 0, 10_000), 0) {
                if (it is FleetDecision.Send) chosen.merge(it.targetId, 1, Int::plus)
            }
        }
        assertThat(chosen.values.sum()).isEqualTo(64)
        assertThat(chosen.values.max()).isLessThanOrEqualTo(9)
    }

    /** In an overload that 64 hosts see alike, each of them could take all free slots. */
    @Example
    fun hostKeepsToItsShareOfScarceSlots() {
        scheduler.hostCount = 64
        scheduler.updateTargets((1..40).map { target("t$it", slots = 10) })
        scheduler.updatePeerLoads((1..40).associate { "t$it" to FleetScheduler.PeerLoad(9, 0) })
        val demand = mapOf(WaitingQueue.rankOf(1) to 63 * 25)
        scheduler.updatePeerDemands(mapOf("model" to demand))
        (1L..30L).forEach { enroll(it) }
        assertThat(sent).hasSizeBetween(7, 9)
    }

    /**
     * In a burst of ten times the capacity of the targets, requests must not wait for a slot that
     * they cannot get in time.
     */
    @Example
    fun requestsThatCannotStartInTimeAreRefusedAtOnceLeastUrgentFirst() {
        scheduler.updateTargets(listOf(target("t1", slots = 1)))
        (1L..11L).forEach {
            enroll(it, priority = 0)
            scheduler.release(it, FleetOutcome.ANSWERED, 0)
        }
        (100L..160L).forEach { enroll(it, priority = (it % 2).toInt(), startByMs = 1_000) }
        val refused = sent.filterValues { it is FleetDecision.Refuse }.keys
        assertThat(refused).hasSizeBetween(40, 50)
        assertThat(refused.filter { it % 2 == 0L }.size).isLessThan(20)
        assertThat(scheduler.waitingCount).isBetween(6, 20)
    }

    /**
     * In a burst of three times the capacity, late requests yield to all that arrive. They would
     * wait in vain and hear it only at the end.
     */
    @Example
    fun lateRequestsAreRefusedAtOnceWhileArrivalsExceedSends() {
        scheduler.updateTargets(listOf(target("t1", slots = 1)))
        var sequence = 0L
        (0L until 2_000L step 20).forEach { nowMs ->
            repeat(3) {
                val id = ++sequence
                val ticket = FleetTicket(
                    id,
                    "model",
                    1,
                    500,
                    50,
                    dueAtMs = nowMs + 300,
                    startByMs = nowMs + 1_800
                )
                scheduler.enroll(ticket, nowMs) { sent[id] = it }
            }
            sent.filterValues { it is FleetDecision.Send }.keys.max()
                .let { scheduler.release(it, FleetOutcome.ANSWERED, nowMs + 10) }
            scheduler.decide(nowMs + 10)
        }
        assertThat(scheduler.waitingCount).isLessThan(50)
        assertThat(sent.values.filterIsInstance<FleetDecision.Refuse>()).hasSizeGreaterThan(140)
    }

    /** After a start, many hosts have too few requests each to learn slowdowns on their own. */
    @Example
    fun targetThatOtherHostsFoundSlowIsAvoidedFromTheFirstRequest() {
        scheduler.updateTargets(listOf(target("t1"), target("t2")))
        scheduler.updateFleetSlowdowns(mapOf("t1" to 6.0, "t2" to 1.0))
        (1L..4L).forEach { enroll(it) }
        assertThat(sent.values).allMatch { it is FleetDecision.Send && it.targetId == "t2" }
    }

    @Example
    fun eventIntervalOfARunningResponseIsLearned() {
        scheduler.updateTargets(listOf(target("t1")))
        enroll(1)
        scheduler.onEventInterval(1, msPerEvent = 150.0)
        assertThat(scheduler.takeObservedSlowdowns().getValue("t1").factor).isGreaterThan(4.0)
    }

    /**
     * 90 hosts have sent to a target for long, each of them rarely. When it turns slow, what they
     * learned before must not hide it.
     */
    @Example
    fun targetThatTurnsSlowIsSoonKnownInALargeFleet() {
        val aggregator = LoadAggregator(reportTimeoutMs = 1_000)
        val fleet = (1..90).map { host ->
            FleetScheduler("zone-a", Random(host)).also { it.updateTargets(listOf(target("t1"))) }
        }
        var sequence = 0L
        fun respond(host: Int, msPerEvent: Double) {
            val id = ++sequence
            fleet[host].enroll(ticket(id, 1, 10_000), 0) {}
            fleet[host].onEventInterval(id, msPerEvent)
            fleet[host].release(id, FleetOutcome.CANCELLED, 0)
            val observed = fleet[host].takeObservedSlowdowns()
            aggregator.onReport(
                LoadReport("h$host", emptyMap(), emptyMap(), slowdowns = observed),
                0
            )
        }
        repeat(900) { respond(it % 90, msPerEvent = 25.0) }
        repeat(30) { respond(it, msPerEvent = 100.0) }
        assertThat(aggregator.averageSlowdowns().getValue("t1")).isGreaterThan(2.5)
        val host = fleet.last()
        repeat(3) { host.updateFleetSlowdowns(aggregator.averageSlowdowns()) }
        assertThat(host.views(0).single().slowdown).isGreaterThan(2.0)
    }

    /** The count of a response is newer than reports that are half a second old. */
    @Example
    fun exactCountOfAResponseCorrectsOldReportsOfPeers() {
        scheduler.updateTargets(listOf(target("t1", slots = 4), target("t2", slots = 4)))
        val full = mapOf("t2" to FleetScheduler.PeerLoad(4, 0))
        scheduler.updatePeerLoads(full, nowMs = 0, ageMs = 500)
        enroll(1)
        scheduler.onReportedLoad(1, inProgress = 4, slowdown = null, nowMs = 100)
        scheduler.updatePeerLoads(emptyMap(), nowMs = 200, ageMs = 500)
        (2L..5L).forEach { enroll(it) }
        assertThat(sent.filterKeys { it > 1 }.values)
            .allMatch { it is FleetDecision.Send && it.targetId == "t2" }
        scheduler.updatePeerLoads(emptyMap(), nowMs = 700, ageMs = 500)
        enroll(6)
        assertThat(sent[6]).isInstanceOf(FleetDecision.Send::class.java)
    }

    /** Other programs on a target's host slow it down for some hundred milliseconds. */
    @Example
    fun targetThatSaysItIsSlowIsAvoidedForAMoment() {
        scheduler.updateTargets(listOf(target("t1"), target("t2")))
        enroll(1)
        val slow = (sent.getValue(1) as FleetDecision.Send).targetId
        scheduler.onReportedLoad(1, inProgress = 1, slowdown = 6.0, nowMs = 0)
        scheduler.release(1, FleetOutcome.ANSWERED, 0)
        (2L..4L).forEach { enroll(it) }
        assertThat((2L..4L).map { sent.getValue(it) })
            .noneMatch { it is FleetDecision.Send && it.targetId == slow }
        (5L..8L).forEach { scheduler.enroll(ticket(it, 1, 20_000), 5_000) { d -> sent[it] = d } }
        assertThat((5L..8L).map { sent.getValue(it) })
            .anyMatch { it is FleetDecision.Send && it.targetId == slow }
    }

    @Example
    fun withdrawnRequestIsNeverSent() {
        scheduler.updateTargets(listOf(target("t1", slots = 1)))
        enroll(1)
        enroll(2)
        scheduler.withdraw(2)
        scheduler.release(1, FleetOutcome.ANSWERED, 1)
        assertThat(sent.keys).containsExactly(1L)
    }

    @Property(tries = 300)
    fun everyTicketIsDecidedOnceAndSlotsAreNeverExceeded(@ForAll seed: Long) {
        val random = Random(seed)
        val subject = FleetScheduler("zone-a", Random(seed))
        val decisions = HashMap<Long, Int>()
        val running = HashMap<Long, String>()
        subject.updateTargets((1..3).map { target("t$it", slots = 2) })
        var nowMs = 0L
        repeat(200) { step ->
            nowMs += random.nextLong(20)
            if (random.nextInt(3) > 0) {
                val id = step.toLong()
                subject.enroll(ticket(id, random.nextInt(3), nowMs + 100), nowMs) {
                    decisions.merge(id, 1, Int::plus)
                    if (it is FleetDecision.Send) running[id] = it.targetId
                }
            } else {
                running.keys.randomOrNull(random)?.let {
                    running.remove(it)
                    subject.release(it, FleetOutcome.entries.random(random), nowMs)
                }
            }
            subject.decide(nowMs)
            assertThat(running.values.groupingBy { it }.eachCount().values).allMatch { it <= 2 }
            assertThat(subject.runningCount).isEqualTo(running.size)
        }
        subject.decide(nowMs + 1_000)
        assertThat(decisions.values).allMatch { it == 1 }
        assertThat(subject.waitingCount).isZero()
    }

    /** Guards against decided requests that never learn it and wait for their time limit. */
    @Example
    fun decidedRequestsGetTheirDecisionAlthoughALaterDecisionFails() {
        val random = FailingRandom()
        val scheduler = FleetScheduler("zone-a", random)
        (1L..3L).forEach {
            scheduler.enroll(ticket(it, 1, 10_000), 0) { decision -> sent[it] = decision }
        }
        scheduler.updateTargets(listOf(target("t1"), target("t2")))
        random.remainingCalls = 2
        assertThatThrownBy { scheduler.decide(1) }.hasMessage("on purpose")
        assertThat(sent.keys).containsExactly(1L)
        assertThat(scheduler.runningCount).isEqualTo(1)
        random.remainingCalls = Int.MAX_VALUE
        scheduler.decide(2)
        assertThat(sent.keys).containsExactly(1L, 2L, 3L)
    }

    /** Guards against extra runs that take slots from requests which wait, here or elsewhere. */
    @Example
    fun serviceHasASpareSlotOnlyWhileNoRequestWaitsAndAnotherTargetIsFree() {
        scheduler.updateTargets(listOf(target("t1", slots = 1), target("t2", slots = 1)))
        fun hasSpareSlot(vararg avoid: String) =
            scheduler.hasSpareSlot(ticket(99, 1, 10_000).copy(avoid = avoid.toSet()), 0)
        enroll(1)
        val used = (sent.getValue(1) as FleetDecision.Send).targetId
        assertThat(hasSpareSlot(used)).isTrue()
        assertThat(hasSpareSlot("t1", "t2")).isFalse()
        scheduler.updatePeerDemands(mapOf("model" to mapOf(1 to 1)))
        assertThat(hasSpareSlot(used)).isFalse()
        scheduler.updatePeerDemands(emptyMap())
        enroll(2)
        assertThat(hasSpareSlot()).isFalse()
        enroll(3)
        scheduler.updateTargets(List(3) { target("t${it + 1}", slots = 2) })
        assertThat(hasSpareSlot()).isFalse()
        scheduler.withdraw(3)
        assertThat(hasSpareSlot()).isTrue()
    }

    /** A limited target hands out few permits, which must be left to first runs. */
    @Example
    fun serviceWithALimitedTargetHasNoSpareSlot() {
        scheduler.updateTargets(listOf(target("t1"), target("t2")))
        enroll(1)
        assertThat(scheduler.hasSpareSlot(ticket(99, 1, 10_000), 0)).isTrue()
        scheduler.onLimit(1, 5.0, 0)
        assertThat(scheduler.hasSpareSlot(ticket(99, 1, 10_000), 0)).isFalse()
    }

    private class FailingRandom : Random() {
        var remainingCalls = Int.MAX_VALUE
        private val values = Random(1)

        override fun nextBits(bitCount: Int): Int = values.nextBits(bitCount)

        override fun nextDouble(): Double {
            check(remainingCalls-- > 0) { "on purpose" }
            return values.nextDouble()
        }
    }

    private fun enroll(sequence: Long, priority: Int = 1, startByMs: Long = 10_000) =
        scheduler.enroll(ticket(sequence, priority, startByMs), 0) { sent[sequence] = it }

    private fun ticket(sequence: Long, priority: Int, startByMs: Long) =
        FleetTicket(sequence, "model", priority, 500, 50, dueAtMs = startByMs, startByMs)

    private fun target(id: String, slots: Int = 8, isLeaving: Boolean = false) =
        FleetTarget(id, "model", "zone-a", slots, isLeaving, isEngine = true)
}
