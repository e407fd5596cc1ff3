package org.bronzetide.bench

import org.bronzetide.standins.EngineProfile

/**
 * The engines of an experiment, with three relative speeds; their simulated time runs [speedup]
 * times faster than real time.
 */
internal data class FleetProfile(val speedup: Double, val engineCount: Int = 12) {
    /** The profiles of the engines, which cycle through the relative speeds. */
    val engines: List<EngineProfile> = List(engineCount) {
        profile(RELATIVE_SPEEDS[it % RELATIVE_SPEEDS.size])
    }

    /** The capacity of the fleet, in seconds of an engine of speed 1 per simulated second. */
    val engineSecondsPerSecond: Double = List(engineCount) {
        RELATIVE_SPEEDS[it % RELATIVE_SPEEDS.size]
    }.sum()

    private fun profile(speed: Double) = EngineProfile(
        prefillTokensPerSecond = PREFILL_TOKENS_PER_S * speed,
        stepMs = STEP_MS / speed,
        stepMsPerSequence = STEP_MS_PER_SEQUENCE / speed,
        prefillChunkTokens = 256,
        speedup = speedup
    )

    companion object {
        /** Prompt tokens per second of an engine of speed 1. */
        const val PREFILL_TOKENS_PER_S = 16_000.0

        /** The fixed part of a decoding step of an engine of speed 1, in ms. */
        const val STEP_MS = 8.0

        /** The time that each sequence adds to a decoding step, in ms. */
        const val STEP_MS_PER_SEQUENCE = 1.0

        /** The time per output token of an engine of speed 1 at a batch size of 16, in ms. */
        const val BATCHED_TOKEN_MS = STEP_MS / 16 + STEP_MS_PER_SEQUENCE
        private val RELATIVE_SPEEDS = listOf(1.0, 0.8, 0.6)
    }
}
