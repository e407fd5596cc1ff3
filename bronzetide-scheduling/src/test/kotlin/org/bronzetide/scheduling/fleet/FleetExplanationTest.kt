package org.bronzetide.scheduling.fleet

import java.util.function.Predicate
import kotlin.random.Random
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.statistics.Statistics
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.scheduling.fleet.FleetExplanation.Standing
import org.bronzetide.scheduling.fleet.FleetExplanation.Verdict

/**
 * Explanations of decisions under random load: full, resting, leaving, ejected and limited targets,
 * withheld versions, and accounts with different shares.
 */
class FleetExplanationTest {
    /** Guards against an explanation that differs from what happens to the request. */
    @Property(tries = 300)
    fun verdictIsTheDecision(@ForAll seed: Long) {
        val load = RandomLoad(seed)
        repeat(STEPS) {
            load.step()
            val ticket = load.newTicket()
            val verdict = load.scheduler.explain(ticket.copy(sequence = Long.MAX_VALUE), load.nowMs)
                .verdict
            load.enroll(ticket)
            val decision = load.decisions[ticket.sequence]
            Statistics.collect(reasonOf(verdict))
            when (verdict) {
                is Verdict.Send -> assertThat(decision).isInstanceOf(FleetDecision.Send::class.java)

                is Verdict.Wait -> assertThat(decision).isNull()

                is Verdict.Refuse ->
                    assertThat((decision as? FleetDecision.Refuse)?.reason)
                        .describedAs("%s", verdict).isEqualTo(verdict.reason)
            }
        }
        Statistics.coverage { coverage ->
            listOf(
                "sent",
                "a free slot",
                "this host's share of the slots",
                "a permit for a limited target",
                "a slot that is not reserved for more urgent requests",
                "a free target of an allowed version",
                "a free target on which the response can end in time",
                "requests ahead of it",
                "no target of the stream's version",
                "all targets rest",
                "too many ahead"
            ).forEach { coverage.check(it).count(Predicate { count -> count > 0 }) }
        }
    }

    private fun reasonOf(verdict: Verdict): String = when (verdict) {
        is Verdict.Send -> "sent"
        is Verdict.Wait -> verdict.reason.trimStart { it.isDigit() || it == ' ' }
        is Verdict.Refuse -> verdict.reason
    }

    /** Guards against an explanation that takes a permit or slot, or changes later decisions. */
    @Property(tries = 100)
    fun explanationChangesNoDecision(@ForAll seed: Long) {
        val (explained, other) = RandomLoad(seed) to RandomLoad(seed)
        repeat(STEPS) {
            explained.step()
            other.step()
            val ticket = explained.newTicket()
            val probe = ticket.copy(sequence = Long.MAX_VALUE)
            repeat(3) { explained.scheduler.explain(probe, explained.nowMs) }
            explained.enroll(ticket)
            other.enroll(other.newTicket())
        }
        assertThat(explained.decisions).isEqualTo(other.decisions)
        assertThat(explained.scheduler.waitingCount).isEqualTo(other.scheduler.waitingCount)
    }

    @Example
    fun eachTargetSaysWhatPreventsIt() {
        val scheduler = FleetScheduler("z1", Random(1))
        scheduler.updateTargets(
            listOf(target("idle", 2), target("full", 2), target("gone", 2, isLeaving = true))
        )
        scheduler.updatePeerLoads(
            mapOf("full" to FleetScheduler.PeerLoad(2, 0), "idle" to FleetScheduler.PeerLoad(1, 0))
        )
        val explanation = scheduler.explain(ticket(1), 0)
        assertThat(explanation.verdict).isEqualTo(Verdict.Send("idle"))
        assertThat(explanation.candidates.associate { it.id to it.standing }).isEqualTo(
            mapOf("idle" to Standing.FREE, "full" to Standing.FULL, "gone" to Standing.LEAVING)
        )
        assertThat(explanation.candidates.first().firstEventMs).isPositive()
    }

    @Example
    fun shareOfAHostThatOthersOutweighIsNamed() {
        val scheduler = FleetScheduler("z1", Random(1))
        scheduler.updateTargets(listOf(target("t1", 4)))
        scheduler.updatePeerDemands(mapOf(SERVICE to mapOf(0 to 400)))
        repeat(2) { scheduler.enroll(ticket(it + 1L), 0) {} }
        val explanation = scheduler.explain(ticket(Long.MAX_VALUE), 0)
        assertThat(explanation.isShareUsed).isTrue()
        assertThat(explanation.peerDemand).isEqualTo(400)
        assertThat(explanation.verdict).isInstanceOf(Verdict.Wait::class.java)
    }

    /** Guards against an explanation that ranks a request by its priority alone. */
    @Example
    fun shareOfTheAccountIsNamed() {
        val shares = AccountShares().apply { updateQuotas(ACCOUNTS.associateWith { 1.0 }) }
        shares.add("a", 1, 0)
        shares.add("b", 100, 0)
        shares.add("c", 1, 0)
        val scheduler = FleetScheduler("z1", Random(1), shares)
        val within = scheduler.explain(ticket(1).copy(account = "a"), 0)
        val farAbove = scheduler.explain(ticket(1).copy(account = "b"), 0)
        assertThat(within.shareBand).isEqualTo(ShareBand.WITHIN)
        assertThat(farAbove.shareBand).isEqualTo(ShareBand.FAR_ABOVE)
        assertThat(farAbove.rank).isEqualTo(within.rank + ShareBand.FAR_ABOVE.ordinal)
    }

    @Example
    fun serviceWithoutTargetsIsExplained() {
        val explanation = FleetScheduler("z1", Random(1)).explain(ticket(1), 0)
        assertThat((explanation.verdict as Verdict.Wait).reason).contains("none is known")
        assertThat(explanation.candidates).isEmpty()
    }

    /** One host's requests and their targets, determined by [seed]. */
    private class RandomLoad(seed: Long) {
        private val random = Random(seed)
        private val shares = AccountShares().apply {
            updateQuotas(ACCOUNTS.associateWith { 10.0 })
        }
        val scheduler = FleetScheduler("z1", Random(seed), shares)
        val decisions = LinkedHashMap<Long, FleetDecision>()
        private val ended = HashSet<Long>()
        private var sequence = 0L
        private var withheldVersion: String? = null
        var nowMs = 0L
            private set

        init {
            val targets = List(random.nextInt(4)) {
                target("t$it", random.nextInt(1, 3), isLeaving = random.nextInt(6) == 0)
                    .copy(version = "v${random.nextInt(2)}")
            }
            scheduler.updateTargets(targets)
            scheduler.hostCount = random.nextInt(1, 40)
            scheduler.isVersionAllowed = { target, _ -> target.version != withheldVersion }
            scheduler.wouldAllowVersion = { target, _ -> target.version != withheldVersion }
        }

        /** Lets time pass, and perhaps a request end, a target rest, or other hosts report. */
        fun step() {
            nowMs += random.nextLong(60)
            val running = decisions.filter { it.value is FleetDecision.Send }.keys - ended
            val sequence = running.randomOrNull(random)
            when (random.nextInt(9)) {
                0, 1 -> sequence?.let {
                    ended += it
                    scheduler.release(it, FleetOutcome.entries.random(random), nowMs)
                }

                2 -> sequence?.let { scheduler.onRest(it, nowMs + random.nextLong(900)) }

                3 -> scheduler.updatePeerDemands(
                    mapOf(SERVICE to mapOf(random.nextInt(3) to random.nextInt(9)))
                )

                4 -> scheduler.updatePeerSuspects(setOf("t${random.nextInt(4)}"))

                5 -> withheldVersion = listOf(null, "v0", "v1").random(random)

                6 -> scheduler.updateFleetSlowdowns(
                    mapOf("t${random.nextInt(4)}" to random.nextDouble(1.0, 8.0))
                )

                7 -> shares.add(ACCOUNTS.random(random), random.nextLong(100), nowMs)

                else -> sequence?.let {
                    scheduler.onLimit(it, listOf(null, 1.0).random(random), nowMs)
                }
            }
            scheduler.decide(nowMs)
        }

        fun newTicket() = ticket(++sequence).copy(
            priority = random.nextInt(3),
            dueAtMs = nowMs + random.nextLong(400),
            startByMs = nowMs + random.nextLong(800),
            account = (ACCOUNTS + null).random(random),
            endByMs = nowMs + random.nextLong(300, 1_500),
            version = listOf(null, null, "v0", "v1").random(random)?.let(::SoftwareVersion)
        )

        fun enroll(ticket: FleetTicket) =
            scheduler.enroll(ticket, nowMs) { decisions[ticket.sequence] = it }
    }

    private companion object {
        const val SERVICE = "model"
        const val STEPS = 40
        val ACCOUNTS = listOf("a", "b", "c")

        fun target(id: String, slots: Int, isLeaving: Boolean = false) =
            FleetTarget(id, SERVICE, "z1", slots, isLeaving, isEngine = true)

        fun ticket(sequence: Long) = FleetTicket(
            sequence,
            SERVICE,
            priority = 0,
            promptTokens = 100,
            expectedEvents = 10,
            dueAtMs = 400,
            startByMs = 1_000
        )
    }
}
