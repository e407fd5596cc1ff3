package org.bronzetide.scheduling.fleet

import kotlin.random.Random
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

/** Callers that are refused during a burst and return. */
class RetryAdviceTest {
    private val advice = RetryAdvice(Random(1))

    @Example
    fun callersRefusedLaterInABurstStayAwayLonger() {
        assertThat(refuse(nowMs = 0)).isBetween(200, 500)
        (200L..1_800L step 200).forEach { refuse(it) }
        assertThat(refuse(nowMs = 2_000)).isGreaterThan(2_500)
    }

    @Example
    fun callersReturnWithinTheTimeThatTheyHaveAndNotAllAtOnce() {
        (0L..10_000L step 100).forEach { refuse(it, limitMs = 1_000) }
        val delays = List(200) { refuse(nowMs = 10_000, limitMs = 1_000) }
        assertThat(delays).allMatch { it in 600..1_000 }
        assertThat(delays.max() - delays.min()).isGreaterThan(200)
    }

    @Example
    fun anotherBurstBeginsAnew() {
        (0L..3_000L step 100).forEach { refuse(it) }
        assertThat(refuse(nowMs = 10_000)).isLessThan(600)
    }

    @Example
    fun backlogIsWaitedFor() {
        assertThat(advice.onRefusal(backlogMs = 2_000, limitMs = 5_000, nowMs = 0))
            .isGreaterThan(2_000)
    }

    /** Guards against an account that is told 40 ms again and again while it floods. */
    @Example
    fun accountThatStaysOverItsQuotaIsSpreadInPlaceOfReturningForOneRequest() {
        assertThat(advice.onOverQuota(waitMs = 40, limitMs = 5_000, nowMs = 0)).isEqualTo(40)
        (50L..950L step 50).forEach { advice.onOverQuota(40, 5_000, it) }
        assertThat(advice.onOverQuota(40, 5_000, nowMs = 1_000)).isGreaterThan(2_000)
        assertThat(advice.onOverQuota(40, 5_000, nowMs = 9_000)).isEqualTo(40)
    }

    private fun refuse(nowMs: Long, limitMs: Long = 5_000) = advice.onRefusal(0, limitMs, nowMs)
}
