package org.bronzetide.scheduling.fleet

import kotlin.random.Random
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

/** Limits that targets state, and the permits of one host to send to these targets. */
class TargetLimitsTest {
    private val scheduler = FleetScheduler("zone-a", Random(1))
    private val limited = FleetTarget("t1", "model", "zone-a", 4, false, isEngine = true)
    private val sent = ArrayList<Long>()
    private val refused = ArrayList<FleetDecision.Refuse>()

    init {
        scheduler.updateTargets(listOf(limited))
    }

    /** Guards against a request that is sent without a permit, or two for the same. */
    @Example
    fun limitedTargetGetsOneRequestForEachPermit() {
        state(1.0)
        (1L..3L).forEach { enroll(it) }
        assertThat(sent).isEmpty()
        scheduler.limits.addPermits(limited.ref, 2, expiresAtMs = 500)
        scheduler.decide(nowMs = 100)
        assertThat(sent).containsExactly(1, 2)
    }

    /** Guards against a permit that is used late, when it is no longer counted. */
    @Example
    fun permitThatExpiredIsLost() {
        state(1.0)
        scheduler.limits.addPermits(limited.ref, 1, expiresAtMs = 500)
        enroll(1, nowMs = 500)
        assertThat(sent).isEmpty()
    }

    /** Guards against a place that is lost with a request that never reached its target. */
    @Example
    fun permitOfARequestThatWasNotSentIsUsedAgain() {
        state(1.0)
        scheduler.limits.addPermits(limited.ref, 1, expiresAtMs = 500)
        enroll(1)
        enroll(2)
        scheduler.release(1, FleetOutcome.UNSENT, nowMs = 10)
        assertThat(sent).containsExactly(1, 2)
    }

    /** Guards against a place that is used twice, as the request may have reached its target. */
    @Example
    fun permitOfARequestThatFailedIsNotUsedAgain() {
        state(1.0)
        scheduler.limits.addPermits(limited.ref, 1, expiresAtMs = 500)
        enroll(1)
        enroll(2)
        scheduler.release(1, FleetOutcome.CANCELLED, nowMs = 10)
        assertThat(sent).containsExactly(1)
    }

    /** Guards against requests that are held for a limited target while another one is free. */
    @Example
    fun otherTargetsServeWhileThereIsNoPermit() {
        val other = limited.copy(id = "t2")
        scheduler.updateTargets(listOf(limited, other))
        state(1.0)
        enroll(1)
        assertThat(scheduler.views(0).single { it.id == "t2" }.ownCount).isEqualTo(1)
    }

    /** Guards against a time to return that counts on places that the target does not take. */
    @Example
    fun timeToReturnFollowsFromTheLimit() {
        val unlimitedMs = retryAfterMs()
        state(0.2)
        assertThat(retryAfterMs()).isGreaterThan(2 * unlimitedMs)
    }

    /** Guards against the end of a limit by a response from before it was named. */
    @Example
    fun responsesThatOvertakeEachOtherDoNotEndALimit() {
        val named = RequestLimit(1.0, askedAtMs = 100, heardAtMs = 200)
        val none = RequestLimit(null, askedAtMs = 150, heardAtMs = 250)
        assertThat(named.mergedWith(none)).isEqualTo(named)
        assertThat(none.mergedWith(named)).isEqualTo(named)
        val later = none.copy(askedAtMs = 200)
        assertThat(named.mergedWith(later)).isEqualTo(later)
        assertThat(later.mergedWith(named)).isEqualTo(later)
    }

    private fun state(perSecond: Double) =
        scheduler.limits.onStated(limited.ref, RequestLimit(perSecond, 0, 0))

    private fun retryAfterMs(): Long {
        refused.clear()
        (1L..60L).forEach { enroll(100 + it, nowMs = 0, startByMs = 1_000) }
        scheduler.decide(nowMs = 1_001)
        return refused.maxOf { checkNotNull(it.retryAfterMs) }
    }

    private fun enroll(sequence: Long, nowMs: Long = 0, startByMs: Long = 100_000) {
        val ticket = FleetTicket(sequence, "model", 0, 10, 1, startByMs, startByMs)
        scheduler.enroll(ticket.copy(maxRetryAfterMs = 1_000_000), nowMs) {
            when (it) {
                is FleetDecision.Send -> sent += sequence
                is FleetDecision.Refuse -> refused += it
            }
        }
    }
}
