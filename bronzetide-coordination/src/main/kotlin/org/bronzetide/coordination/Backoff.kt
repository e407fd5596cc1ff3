package org.bronzetide.coordination

import kotlin.random.Random

/**
 * Spaces out tries: exponential with full jitter, so that nodes that failed together don't return
 * together.
 *
 * Source: Brooker, "Exponential backoff and jitter", 2015.
 */
public class Backoff(
    private val firstMs: Long,
    private val maxMs: Long,
    private val random: Random = Random.Default
) {
    private var ceilingMs = firstMs

    /** The time to wait before the next try, in milliseconds. */
    public fun nextDelayMs(): Long {
        val waitMs = random.nextLong(ceilingMs / 2, ceilingMs + 1)
        ceilingMs = minOf(maxMs, ceilingMs * 2)
        return waitMs
    }

    /** Starts over after a success. */
    public fun reset() {
        ceilingMs = firstMs
    }
}
