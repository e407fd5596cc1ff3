package org.bronzetide.scheduling

import org.bronzetide.model.TargetId

/** The load, limit and latency of one target as known to the scheduler. */
internal class TargetState(val id: TargetId, val order: Int, policy: PoolPolicy) {
    val limit = ConcurrencyLimit(
        policy.concurrencyPerTarget,
        policy.betweenTokensMs,
        Feature.ADAPTIVE_LIMIT in policy
    )
    val latency = LatencyModel()

    /** Whether the host list has the target. An unlisted one is kept while requests run on it. */
    var isListed = true
    var isLeaving = false
    var ejectedUntilMs = 0L
    var inFlight = 0
        private set

    /** The sum of the predicted times of the requests in flight, in milliseconds. */
    var outstandingMs = 0.0
        private set
    private var consecutiveFailures = 0
    private var ejections = 0

    /** Orders targets by predicted finish; must not change while in an ordered set. */
    var score = 0.0

    /** The prompt tokens of requests that have no first token yet. */
    private var prefillTokens = 0

    /** The predicted time until all prompts on the target are prefilled, in milliseconds. */
    val prefillBacklogMs: Double get() = prefillTokens * latency.prefillMsPerToken

    /** Sets the score to [rotation] if given, else to the predicted finish. */
    fun refreshScore(rotation: Long?) {
        val shareMs = (outstandingMs + latency.typicalMs) / limit.current
        score = rotation?.toDouble() ?: (prefillBacklogMs + shareMs)
    }

    fun start(predictedMs: Double, promptTokens: Int) {
        inFlight++
        outstandingMs += predictedMs
        prefillTokens += promptTokens
    }

    fun onPrefilled(promptTokens: Int) {
        prefillTokens -= promptTokens
    }

    fun end(predictedMs: Double) {
        inFlight--
        outstandingMs = if (inFlight == 0) 0.0 else maxOf(0.0, outstandingMs - predictedMs)
    }

    /** Records a failure and returns whether the target should be ejected. */
    fun onFailure(): Boolean = ++consecutiveFailures >= FAILURES_TO_EJECT

    fun onSuccess() {
        consecutiveFailures = 0
        ejections = 0
    }

    fun eject(nowMs: Long) {
        val backoff = EJECTION_MS shl ejections.coerceAtMost(MAX_BACKOFF_DOUBLINGS)
        ejectedUntilMs = nowMs + backoff
        ejections++
        // A single failure after the ejection ejects the target again.
        consecutiveFailures = FAILURES_TO_EJECT - 1
        limit.restart()
    }

    private companion object {
        const val FAILURES_TO_EJECT = 3
        const val EJECTION_MS = 1_000L
        const val MAX_BACKOFF_DOUBLINGS = 4
    }
}

/** Predicts the latency of requests on a target from finished ones. */
internal class LatencyModel {
    private val prefill = LinearFit(INITIAL_PREFILL_MS)
    val prefillMsPerToken: Double get() = prefill.slope
    var decodeMsPerToken = INITIAL_DECODE_MS
        private set

    /** The moving average of the durations of requests, in milliseconds. */
    var typicalMs = 0.0
        private set
    var samples = 0
        private set

    /** The predicted time of a medium request in milliseconds, for comparing targets. */
    val nominalMs: Double
        get() = if (samples == 0) Double.MAX_VALUE else predictMs(NOMINAL_PROMPT, NOMINAL_OUTPUT)

    fun predictMs(promptTokens: Int, outputTokens: Int): Double =
        prefill.intercept + promptTokens * prefill.slope + outputTokens * decodeMsPerToken

    fun learn(release: Release) {
        val gain = maxOf(GAIN, 1.0 / ++samples)
        prefill.add(release.promptTokens.toDouble(), release.firstTokenMs.toDouble())
        if (release.outputTokens >= MIN_OUTPUT) {
            decodeMsPerToken += (betweenTokensMs(release) - decodeMsPerToken) * gain
        }
        typicalMs += (release.durationMs - typicalMs) * gain
    }

    /** Copies the estimates of [peer] as initial values, without its number of samples. */
    fun copyFrom(peer: LatencyModel) {
        prefill.copyFrom(peer.prefill)
        decodeMsPerToken = peer.decodeMsPerToken
        typicalMs = peer.typicalMs
    }

    companion object {
        private const val INITIAL_PREFILL_MS = 0.2
        private const val INITIAL_DECODE_MS = 5.0
        private const val GAIN = 0.1
        private const val MIN_OUTPUT = 8
        private const val NOMINAL_PROMPT = 300
        private const val NOMINAL_OUTPUT = 80

        fun betweenTokensMs(release: Release): Double = if (release.outputTokens > 1) {
            (release.durationMs - release.firstTokenMs).toDouble() / (release.outputTokens - 1)
        } else {
            release.durationMs.toDouble()
        }
    }
}
