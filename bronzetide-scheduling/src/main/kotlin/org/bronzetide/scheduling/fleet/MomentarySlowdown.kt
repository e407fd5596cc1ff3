package org.bronzetide.scheduling.fleet

import kotlin.math.exp

/**
 * How many times longer than usual work takes on a target's host at the moment, as the target said.
 *
 * Other programs on that host cause it and it changes several times a second, so that what was said
 * counts less and less with its age.
 */
internal class MomentarySlowdown {
    private var said = 1.0
    private var saidAtMs = 0L

    /** Records that the target said [factor] at [nowMs]. */
    fun update(factor: Double, nowMs: Long) {
        said = factor.coerceIn(MIN_FACTOR, MAX_FACTOR)
        saidAtMs = nowMs
    }

    /** The factor expected at [nowMs]; 1 if nothing is known. */
    fun at(nowMs: Long): Double {
        val ageMs = (nowMs - saidAtMs).coerceAtLeast(0)
        return 1 + (said - 1) * exp(-ageMs / DECAY_MS)
    }

    private companion object {
        const val MIN_FACTOR = 0.2

        /** Bounds the effect of a target that exaggerates. */
        const val MAX_FACTOR = 10.0
        const val DECAY_MS = 300.0
    }
}
