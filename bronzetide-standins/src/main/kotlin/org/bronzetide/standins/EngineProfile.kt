package org.bronzetide.standins

/** The speed and size of a stand-in engine. Its own time runs [speedup] times faster than life. */
data class EngineProfile(
    val prefillTokensPerSecond: Double = 8_000.0,
    /** The duration of a decoding step with an empty batch, in the engine's milliseconds. */
    val stepMs: Double = 15.0,
    /** What each sequence adds to a step, in the engine's milliseconds. */
    val stepMsPerSequence: Double = 1.5,
    val maxBatch: Int = 32,
    val prefillChunkTokens: Int = 512,
    val cacheTokens: Int = 40_000,
    val speedup: Double = 1.0
)
