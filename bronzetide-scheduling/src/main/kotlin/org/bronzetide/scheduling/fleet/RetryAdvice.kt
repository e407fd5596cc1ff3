package org.bronzetide.scheduling.fleet

import kotlin.random.Random

/**
 * Tells refused callers of one service when to return.
 *
 * A refused request is late when it returns, so that what counts then is that it finds a place.
 * How long an overload lasts is not known; the longer it has lasted, the longer it is expected to
 * go on. Of overloads whose length has no typical scale, two in three end within twice their age.
 */
public class RetryAdvice(private val random: Random) {
    private var overloadedSinceMs = 0L
    private var lastRefusalAtMs = Long.MIN_VALUE / 2

    /**
     * Returns the time after which to return, in milliseconds, at most [limitMs]. [backlogMs] is
     * the time until the requests that wait now have a place.
     */
    public fun onRefusal(backlogMs: Long, limitMs: Long, nowMs: Long): Long =
        spread(backlogMs, limitMs, overloadAgeMs(nowMs))

    /**
     * Returns the time after which to return to an account that is over its quota and has units for
     * its next request in [waitMs] milliseconds. A single request over it may return just then;
     * while others are refused as well, units for one of them are not enough.
     */
    public fun onOverQuota(waitMs: Long, limitMs: Long, nowMs: Long): Long {
        val ageMs = overloadAgeMs(nowMs)
        return if (ageMs < BRIEF_EXCESS_MS) waitMs else spread(waitMs, limitMs, ageMs)
    }

    private fun overloadAgeMs(nowMs: Long): Long {
        if (nowMs - lastRefusalAtMs > CALM_MS) overloadedSinceMs = nowMs
        lastRefusalAtMs = nowMs
        return nowMs - overloadedSinceMs
    }

    private fun spread(backlogMs: Long, limitMs: Long, ageMs: Long): Long {
        val expectedMs = MIN_DELAY_MS + maxOf(backlogMs, ageMs * EXPECTED_AGES)
        val earliestMs = minOf(expectedMs, limitMs * MIN_LIMIT_PERCENT / PERCENT)
        val spreadMs = maxOf(MIN_SPREAD_MS, earliestMs / 2)
        return (earliestMs + random.nextLong(spreadMs)).coerceIn(1, maxOf(1, limitMs))
    }

    private companion object {
        /** After this time without a refusal, the next one begins another overload. */
        const val CALM_MS = 1_000L

        /** The time within which one large request can explain several refusals. */
        const val BRIEF_EXCESS_MS = 250L
        const val EXPECTED_AGES = 2
        const val MIN_DELAY_MS = 200L
        const val MIN_SPREAD_MS = 300L

        /** Callers with the same limit are spread over the rest of it. */
        const val MIN_LIMIT_PERCENT = 65
        const val PERCENT = 100
    }
}
