package org.bronzetide.standins

/**
 * The speed and capacity of a simulated engine. Simulated time runs [speedup] times faster than
 * real time.
 */
data class EngineProfile(
    val prefillTokensPerSecond: Double = 8_000.0,
    /** The duration of a step without decoding or prefill, in simulated milliseconds. */
    val stepMs: Double = 15.0,
    /** The time that each decoding sequence adds to a step, in simulated milliseconds. */
    val stepMsPerSequence: Double = 1.5,
    /** The largest number of sequences in a batch. */
    val maxBatch: Int = 32,
    /** The largest number of prompt tokens that one step prefills. */
    val prefillChunkTokens: Int = 512,
    /** The capacity of the prefix cache in tokens. */
    val cacheTokens: Int = 40_000,
    val speedup: Double = 1.0
)
