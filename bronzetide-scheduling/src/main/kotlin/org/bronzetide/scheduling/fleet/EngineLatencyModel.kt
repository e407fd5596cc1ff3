package org.bronzetide.scheduling.fleet

/**
 * Predicts the latency of an engine of typical speed from the latencies of past responses.
 *
 * An engine generates the tokens of all running requests in steps, and in each step reads the next
 * chunk of a queued prompt. The time to the first event is therefore a fixed part plus a part
 * proportional to the prompt tokens that must be read before it.
 */
internal class EngineLatencyModel {
    /** The time to the first event apart from reading prompts, in milliseconds. */
    var fixedMs = INITIAL_FIXED_MS
        private set

    /** The time to read one prompt token, in milliseconds. */
    var msPerPromptToken = INITIAL_MS_PER_TOKEN
        private set

    /** The time between two events of a response, in milliseconds. */
    var msPerEvent = INITIAL_MS_PER_EVENT
        private set

    /**
     * The predicted time to the first event on the target of [load], in milliseconds; 0 if the
     * target is no engine.
     */
    fun firstEventMs(load: TargetLoad, promptTokens: Int, nowMs: Long): Double {
        if (!load.spec.isEngine) return 0.0
        val readingMs = (load.promptTokens + promptTokens) * msPerPromptToken
        return load.slowdownAt(nowMs) * (fixedMs + readingMs)
    }

    fun learnEventInterval(observedMsPerEvent: Double) {
        if (observedMsPerEvent <= 0 || !observedMsPerEvent.isFinite()) return
        msPerEvent += (observedMsPerEvent - msPerEvent) * GAIN
    }

    /** Learns from a first event after [tookMs] ms with [aheadTokens] prompt tokens to read. */
    fun learnFirstEvent(tookMs: Double, aheadTokens: Long, slowdown: Double) {
        val normalizedMs = tookMs / slowdown
        if (aheadTokens < SHORT_PROMPT_TOKENS) {
            fixedMs += (normalizedMs - fixedMs).coerceIn(-MAX_STEP_MS, MAX_STEP_MS) * GAIN
        } else {
            val msPerToken = ((normalizedMs - fixedMs) / aheadTokens).coerceIn(
                MIN_MS_PER_TOKEN,
                MAX_MS_PER_TOKEN
            )
            msPerPromptToken += (msPerToken - msPerPromptToken) * GAIN
        }
    }

    private companion object {
        const val INITIAL_FIXED_MS = 60.0
        const val INITIAL_MS_PER_TOKEN = 0.015
        const val INITIAL_MS_PER_EVENT = 25.0
        const val SHORT_PROMPT_TOKENS = 1_000
        const val GAIN = 0.02
        const val MAX_STEP_MS = 400.0
        const val MIN_MS_PER_TOKEN = 0.002
        const val MAX_MS_PER_TOKEN = 0.2
    }
}
