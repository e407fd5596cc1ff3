package org.bronzetide.coordination

import kotlin.random.Random

/**
 * Exponential backoff with jitter, so that nodes that failed together do not retry together.
 *
 * Each delay is drawn at random from the upper half of a ceiling. The ceiling starts at [firstMs]
 * and doubles with every delay up to [maxMs], both in milliseconds.
 *
 * Source: Brooker, "Exponential backoff and jitter", 2015, where this is called equal jitter.
 */
public class Backoff(
    private val firstMs: Long,
    private val maxMs: Long,
    private val random: Random = Random.Default
) {
    private var ceilingMs = firstMs

    /** Returns the delay before the next attempt, in milliseconds. */
    public fun nextDelayMs(): Long {
        val delayMs = random.nextLong(ceilingMs / 2, ceilingMs + 1)
        ceilingMs = minOf(maxMs, ceilingMs * 2)
        return delayMs
    }

    /** Resets the ceiling to the first delay. Call it after a successful attempt. */
    public fun reset() {
        ceilingMs = firstMs
    }
}
