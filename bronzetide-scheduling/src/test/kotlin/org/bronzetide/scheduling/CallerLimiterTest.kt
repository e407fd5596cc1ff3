package org.bronzetide.scheduling

import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import net.jqwik.api.Example
import org.bronzetide.model.CallerId
import org.bronzetide.model.CallerLimits

class CallerLimiterTest {
    private val limiter = CallerLimiter()
    private val caller = CallerId("desk")

    @Example
    fun `a rate limit admits its burst and then its rate`() {
        val limits = CallerLimits(requestsPerSecond = 5.0)
        val admitted = (0L until 10_000L step 10).count {
            limiter.admit(caller, limits, 1.0, it) == null
        }
        check(admitted in 58..61) { "$admitted in 10 s at 5 a second with a burst of 10" }
    }

    @Example
    fun `each end frees a concurrency slot`() {
        val limits = CallerLimits(concurrent = 2)
        repeat(2) { check(limiter.admit(caller, limits, 1.0, 0) == null) }
        check(limiter.admit(caller, limits, 1.0, 0) != null)
        limiter.end(caller, 0.0, 0)
        check(limiter.admit(caller, limits, 1.0, 0) == null)
    }

    @Example
    fun `tokens that were underestimated are charged afterwards`() {
        val limits = CallerLimits(tokensPerSecond = 100.0)
        check(limiter.admit(caller, limits, 10.0, 0) == null)
        limiter.end(caller, 1_000.0, 0)
        val waitMs = limiter.admit(caller, limits, 10.0, 0)!!
        check(waitMs in 8_000L..8_500L) { "$waitMs ms" }
    }

    /** Guards against small requests that take each refill before a large one fits into it. */
    @Example
    fun `a caller over its token limit is admitted alike for requests of any size`() {
        val random = Random(1)
        val limits = CallerLimits(tokensPerSecond = 10_000.0)
        val requests = (0L until 600_000L step 100).map { nowMs ->
            val tokens = exp(random.nextDouble(ln(60.0), ln(12_000.0)))
            val isAdmitted = limiter.admit(caller, limits, tokens, nowMs) == null
            if (isAdmitted) limiter.end(caller, 0.0, nowMs)
            tokens to isAdmitted
        }.sortedBy { it.first }
        val share = requests.shareAdmitted()
        val tenth = requests.size / 10
        check(requests.takeLast(tenth).shareAdmitted() > share * 0.8) { "largest of $share" }
        check(requests.take(tenth).shareAdmitted() > share * 0.8) { "smallest of $share" }
        val admittedTokens = requests.filter { it.second }.sumOf { it.first }
        check(admittedTokens in 5_900_000.0..6_032_000.0) { "$admittedTokens in 600 s" }
    }

    private fun List<Pair<Double, Boolean>>.shareAdmitted() = count { it.second }.toDouble() / size

    /** Guards against a change of a limit that gives a caller its whole burst again. */
    @Example
    fun `a changed limit does not refill what was spent`() {
        repeat(10) { check(limiter.admit(caller, CallerLimits(5.0), 1.0, 0) == null) }
        listOf(4.0, 5.0, 0.5, 5.0).forEach { perSecond ->
            check(limiter.admit(caller, CallerLimits(perSecond), 1.0, 0) != null)
        }
        check(limiter.admit(caller, CallerLimits(5.0), 1.0, 200) == null)
    }
}
