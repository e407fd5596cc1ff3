package org.bronzetide.scheduling

/**
 * Limits a rate: holds up to [burst] units and is refilled with [perSecond] units per second.
 *
 * Corrections may make the balance negative; nothing is granted until it has recovered. A bucket
 * that replaces an earlier one holds no more than that, so a changed rate forgives nothing.
 */
public class TokenBucket(
    public val perSecond: Double,
    public val burst: Double,
    nowMs: Long,
    earlier: TokenBucket? = null
) {
    private var balance = minOf(burst, earlier?.balanceAt(nowMs) ?: burst)
    private var updatedAtMs = nowMs

    /** Consumes [units] if the bucket holds them or is full, and returns whether it did. */
    public fun tryConsume(units: Double, nowMs: Long): Boolean {
        refill(nowMs)
        if (balance < minOf(units, burst)) return false
        balance -= units
        return true
    }

    /** Consumes [units] unconditionally, or refunds them if negative. */
    public fun correct(units: Double, nowMs: Long) {
        refill(nowMs)
        balance = minOf(burst, balance - units)
    }

    /** The time until [units] can be consumed, in milliseconds. */
    public fun waitMs(units: Double, nowMs: Long): Long {
        refill(nowMs)
        val missing = minOf(units, burst) - balance
        return if (missing <= 0) 0 else (missing / perSecond * 1_000).toLong() + 1
    }

    private fun balanceAt(nowMs: Long): Double {
        refill(nowMs)
        return balance
    }

    private fun refill(nowMs: Long) {
        val elapsedMs = (nowMs - updatedAtMs).coerceAtLeast(0)
        balance = minOf(burst, balance + elapsedMs * perSecond / 1_000)
        updatedAtMs = nowMs
    }
}
