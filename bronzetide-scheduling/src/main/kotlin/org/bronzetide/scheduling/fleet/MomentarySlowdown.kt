package org.bronzetide.scheduling.fleet

import kotlin.math.exp

/**
 * How many times longer than usual work takes on a target's host at the moment, as the target
 * reports.
 *
 * Other programs on that host cause it and it changes several times a second, so a report counts
 * less with its age.
 */
internal class MomentarySlowdown {
    private var reportedFactor = 1.0
    private var reportedAtMs = 0L

    /** Records that the target reported [factor] at [nowMs]. */
    fun update(factor: Double, nowMs: Long) {
        reportedFactor = factor.coerceIn(MIN_FACTOR, MAX_FACTOR)
        reportedAtMs = nowMs
    }

    /** The factor expected at [nowMs]; 1 if nothing is known. */
    fun at(nowMs: Long): Double {
        val ageMs = (nowMs - reportedAtMs).coerceAtLeast(0)
        return 1 + (reportedFactor - 1) * exp(-ageMs / DECAY_MS)
    }

    private companion object {
        const val MIN_FACTOR = 0.2

        /** Bounds the effect of a target that exaggerates. */
        const val MAX_FACTOR = 10.0
        const val DECAY_MS = 300.0
    }
}
