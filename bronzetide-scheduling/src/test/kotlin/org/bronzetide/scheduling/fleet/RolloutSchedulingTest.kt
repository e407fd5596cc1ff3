package org.bronzetide.scheduling.fleet

import kotlin.random.Random
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

/** The scheduler's choices during a rollout. Load pattern: a queue far beyond the slots. */
class RolloutSchedulingTest {
    private val scheduler = FleetScheduler("z1", Random(1))
    private val policy = RolloutPolicy(SHARE, SLACK) { 1 }
    private val sent = ArrayList<FleetDecision.Send>()
    private var nowMs = 0L
    private var sequences = 0L

    /** Guards against a budget that is spent several times in one round of decisions. */
    @Example
    fun queueThatIsSentAtOnceKeepsToTheBudget() {
        start(oldSlots = 4, newSlots = 100)
        repeat(REQUESTS) { enroll() }
        assertThat(exposed()).isPositive()
        while (nowMs < DURATION_MS && sent.size < REQUESTS) {
            nowMs += STEP_MS
            policy.onHeard(nowMs)
            (1..sequences).forEach(::end)
            assertThat(exposed().toDouble()).isLessThanOrEqualTo(SHARE * sent.size + SLACK)
        }
        assertThat(sent).hasSize(REQUESTS)
    }

    /** Guards against requests that wait for a full new target while old ones are free. */
    @Example
    fun fullNewTargetDelaysNoRequestForLong() {
        start(oldSlots = 50, newSlots = 1)
        nowMs = BURST_MS
        policy.onHeard(nowMs)
        repeat(20) {
            enroll()
            nowMs += STEP_MS
            scheduler.decide(nowMs)
            nowMs += STEP_MS
            scheduler.decide(nowMs)
            assertThat(sent).hasSize(it + 1)
        }
        assertThat(exposed()).isEqualTo(1)
    }

    /** Guards against streams that wait, or go on at the other version, as one is preferred. */
    @Example
    fun boundRequestsGoToTheirVersionAtOnceAndAreCounted() {
        start(oldSlots = 50, newSlots = 50)
        nowMs = BURST_MS
        policy.onHeard(nowMs)
        repeat(40) {
            val exposedBefore = exposed()
            val budgetBefore = policy.exposedCount
            enroll(SoftwareVersion("1"))
            assertThat(sent.last().targetId).isEqualTo("old")
            assertThat(policy.exposedCount).isEqualTo(budgetBefore)
            enroll(SoftwareVersion("2"))
            assertThat(policy.exposedCount).isEqualTo(exposed().toLong())
            assertThat(exposed() - exposedBefore).isBetween(0, 1)
            (1..sequences).forEach(::end)
        }
        assertThat(exposed()).isPositive()
        assertThat(exposed().toDouble()).isLessThanOrEqualTo(SHARE * sent.size + SLACK)
    }

    /** Guards against a budget that bound and other requests of one round spend twice. */
    @Example
    fun mixedQueueThatIsSentAtOnceKeepsToTheBudget() {
        start(oldSlots = 4, newSlots = 100)
        val versions = listOf(null, SoftwareVersion("2"), SoftwareVersion("1"))
        repeat(REQUESTS) { enroll(versions[it % versions.size]) }
        while (nowMs < DURATION_MS) {
            nowMs += STEP_MS
            policy.onHeard(nowMs)
            (1..sequences).forEach(::end)
            assertThat(exposed().toDouble()).isLessThanOrEqualTo(SHARE * sent.size + SLACK)
            assertThat(policy.exposedCount).isEqualTo(exposed().toLong())
        }
    }

    private fun start(oldSlots: Int, newSlots: Int) {
        val targets = listOf(target("old", "1", oldSlots), target("new", "2", newSlots))
        scheduler.isVersionAllowed = { target, isBound ->
            policy.isAllowed(target, nowMs, isBound)
        }
        scheduler.updateTargets(targets)
        policy.updateTargets(targets)
        policy.onHeard(nowMs)
        policy.start(RolloutOrder("app", ServiceVersion("2"), DURATION_MS), 0, nowMs)
    }

    private fun enroll(version: SoftwareVersion? = null) {
        val sequence = ++sequences
        val ticket =
            FleetTicket(sequence, "app", 0, 10, 0, DURATION_MS, DURATION_MS, version = version)
        scheduler.enroll(ticket, nowMs) {
            if (it !is FleetDecision.Send) return@enroll
            sent += it
            policy.onSend(sequence, "app", "route", it.targetId, isFirst = true, nowMs)
        }
    }

    private fun end(sequence: Long) {
        policy.onEnd(sequence, FleetOutcome.ANSWERED, nowMs)
        scheduler.release(sequence, FleetOutcome.ANSWERED, nowMs)
    }

    private fun exposed() = sent.count { it.targetId == "new" }

    private fun target(id: String, version: String, slots: Int) =
        FleetTarget(id, "app", "z1", slots, false, isEngine = false, version = version)

    private companion object {
        const val SHARE = 0.1
        const val SLACK = 50.0
        const val REQUESTS = 300
        const val DURATION_MS = 60_000L
        const val STEP_MS = 50L

        /** In the part of a period in which old targets are withheld. */
        const val BURST_MS = 3_000L
    }
}
