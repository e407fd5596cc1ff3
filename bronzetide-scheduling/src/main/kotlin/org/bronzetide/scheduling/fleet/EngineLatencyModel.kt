package org.bronzetide.scheduling.fleet

/**
 * Predicts how long an engine of usual speed takes, learned from what its answers took.
 *
 * An engine produces the tokens of all running requests in steps, and reads the next chunk of a
 * waiting prompt in each. The time to the first event is a fixed part, and a part in proportion to
 * the prompt tokens that are to be read before it.
 */
internal class EngineLatencyModel {
    /** Milliseconds to the first event beside what prompts take. */
    var fixedMs = INITIAL_FIXED_MS
        private set

    /** Milliseconds to read a prompt token. */
    var msPerPromptToken = INITIAL_MS_PER_TOKEN
        private set

    /** Milliseconds between the events of an answer. */
    var msPerEvent = INITIAL_MS_PER_EVENT
        private set

    fun firstEventMs(load: TargetLoad, promptTokens: Int): Double =
        load.slowdown.current * (fixedMs + (load.promptTokens + promptTokens) * msPerPromptToken)

    /** The time to the first event on an engine that reads no other prompt. */
    fun unloadedFirstEventMs(promptTokens: Int): Double = fixedMs + promptTokens * msPerPromptToken

    fun learnEventInterval(observedMsPerEvent: Double) {
        if (observedMsPerEvent <= 0 || !observedMsPerEvent.isFinite()) return
        msPerEvent += (observedMsPerEvent - msPerEvent) * GAIN
    }

    /** Learns from a first event that took [tookMs] with [aheadTokens] prompt tokens to read. */
    fun learnFirstEvent(tookMs: Double, aheadTokens: Long, slowdown: Double) {
        val usualMs = tookMs / slowdown
        if (aheadTokens < SHORT_PROMPT_TOKENS) {
            fixedMs += (usualMs - fixedMs).coerceIn(-MAX_STEP_MS, MAX_STEP_MS) * GAIN
        } else {
            val perToken = ((usualMs - fixedMs) / aheadTokens).coerceIn(
                MIN_PER_TOKEN,
                MAX_PER_TOKEN
            )
            msPerPromptToken += (perToken - msPerPromptToken) * GAIN
        }
    }

    private companion object {
        const val INITIAL_FIXED_MS = 60.0
        const val INITIAL_MS_PER_TOKEN = 0.015
        const val INITIAL_MS_PER_EVENT = 25.0
        const val SHORT_PROMPT_TOKENS = 1_000
        const val GAIN = 0.02
        const val MAX_STEP_MS = 400.0
        const val MIN_PER_TOKEN = 0.002
        const val MAX_PER_TOKEN = 0.2
    }
}
