package org.bronzetide.scheduling.fleet

import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

class HedgingPolicyTest {
    private val policy = HedgingPolicy(share("0.02"))

    /** Guards against hedges for requests that are no slower than others of their length. */
    @Example
    fun requestIsHedgedAfterNineteenOfTwentyResponsesToPromptsOfItsLength() {
        (1L..100L).forEach { policy.onFirstEvent("model", 600, it) }
        repeat(100) { policy.onFirstEvent("model", 5_000, 900) }
        assertThat(policy.hedgeAfterMs("model", 512)).isEqualTo(96)
        assertThat(policy.hedgeAfterMs("model", 1_023)).isEqualTo(96)
        assertThat(policy.hedgeAfterMs("model", 5_000)).isEqualTo(901)
        assertThat(policy.hedgeAfterMs("model", 1_024)).isNull()
        assertThat(policy.hedgeAfterMs("other", 600)).isNull()
    }

    /** Guards against hedges by a quantile of a few responses. */
    @Example
    fun nothingIsHedgedBeforeEnoughResponsesAreKnown() {
        repeat(39) { policy.onFirstEvent("api", 0, 10) }
        assertThat(policy.hedgeAfterMs("api", 0)).isNull()
        policy.onFirstEvent("api", 0, 10)
        assertThat(policy.hedgeAfterMs("api", 0)).isEqualTo(11)
    }

    /** Guards against a quantile of times that no longer hold. */
    @Example
    fun oldResponsesAreForgotten() {
        repeat(300) { policy.onFirstEvent("api", 0, 10) }
        assertThat(policy.hedgeAfterMs("api", 0)).isEqualTo(11)
        repeat(300) { policy.onFirstEvent("api", 0, 50) }
        assertThat(policy.hedgeAfterMs("api", 0)).isEqualTo(51)
    }

    /** Guards against more second runs than the operators allow, at any time and in a burst. */
    @Example
    fun hedgesStayWithinTheShareOfEachService() {
        var hedges = 0
        for (request in 1..1_000) {
            policy.onRequest("model")
            if (decide("model") == HedgingDecision.SEND) hedges++
            assertThat(hedges).isLessThanOrEqualTo(request / 50)
        }
        assertThat(hedges).isEqualTo(20)
        assertThat(decide("model")).isEqualTo(HedgingDecision.SHARE_USED_UP)
        repeat(10_000) { policy.onRequest("model") }
        assertThat(decide("other")).isEqualTo(HedgingDecision.SHARE_USED_UP)
        val burst = generateSequence { decide("model") }.takeWhile { it == HedgingDecision.SEND }
        assertThat(burst.count()).isEqualTo(4)
    }

    /** Guards against hedges that add to the extra load that retries are limited to. */
    @Example
    fun hedgesAndRetriesShareOneBudget() {
        val budget = WindowedRetryBudget(0.0, 10.0, 10_000) { 1 }
        val tryRetry = { budget.tryRetry("model", 0) }
        repeat(200) { policy.onRequest("model") }
        repeat(5) { assertThat(tryRetry()).isTrue() }
        assertThat(policy.decide("model", true, tryRetry)).isEqualTo(HedgingDecision.SEND)
        assertThat(policy.decide("model", true, tryRetry)).isEqualTo(HedgingDecision.SEND)
        assertThat(policy.decide("model", true, tryRetry))
            .isEqualTo(HedgingDecision.RETRY_BUDGET_SPENT)
        assertThat(tryRetry()).isFalse()
    }

    /** Guards against hedges, or retries lost to them, that a full service would get. */
    @Example
    fun fullServiceGetsNoHedgeAndKeepsItsRetriesAndItsShare() {
        repeat(50) { policy.onRequest("model") }
        var retries = 0
        val tryRetry = {
            retries++
            true
        }
        assertThat(policy.decide("model", false, tryRetry)).isEqualTo(HedgingDecision.SERVICE_FULL)
        assertThat(retries).isZero()
        assertThat(policy.decide("model", true, tryRetry)).isEqualTo(HedgingDecision.SEND)
        assertThat(policy.decide("model", true, tryRetry)).isEqualTo(HedgingDecision.SHARE_USED_UP)
        assertThat(retries).isEqualTo(1)
    }

    @Example
    fun shareOfZeroTurnsHedgingOff() {
        val off = HedgingPolicy(share("0"))
        repeat(1_000) {
            off.onRequest("api")
            off.onFirstEvent("api", 0, 10)
        }
        assertThat(off.isEnabled).isFalse()
        assertThat(off.hedgeAfterMs("api", 0)).isNull()
        assertThat(off.decide("api", true) { true }).isNotEqualTo(HedgingDecision.SEND)
    }

    @Example
    fun shareIsADecimalNumberFromZeroToOne() {
        assertThat(share("0.02").millionths).isEqualTo(20_000)
        assertThat(share("1").millionths).isEqualTo(1_000_000)
        listOf("", "-0.1", "1.01", "2%", "NaN", "0.02f", "1e9").forEach {
            assertThat(HedgingShare.parseOrNull(it)).isNull()
        }
    }

    private fun decide(service: String) = policy.decide(service, hasSpareSlot = true) { true }

    private fun share(text: String) = checkNotNull(HedgingShare.parseOrNull(text))
}
