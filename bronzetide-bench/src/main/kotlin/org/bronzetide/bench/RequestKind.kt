package org.bronzetide.bench

import kotlin.random.Random

/** A kind of request in the workload mix. [deadlineMs] is in simulated milliseconds. */
internal data class RequestKind(
    val name: String,
    val tier: Int,
    val promptTokens: IntRange,
    val outputTokens: IntRange,
    val deadlineMs: Long,
    /** The share of the requests of the mix. */
    val share: Double,
    val service: ServiceUse = ServiceUse.NONE
) {
    /** How a kind calls the service pool; [NONE] calls the model instead. */
    enum class ServiceUse { NONE, READ, COMMAND }

    /** The mean work per request on an engine of speed 1, in s; 0 for calls of the service. */
    val engineSeconds: Double
        get() = if (service != ServiceUse.NONE) {
            0.0
        } else {
            mean(promptTokens) / FleetProfile.PREFILL_TOKENS_PER_S +
                mean(outputTokens) * FleetProfile.BATCHED_TOKEN_MS / 1_000
        }

    /** Draws the number of prompt tokens, uniformly from [promptTokens]. */
    fun drawPromptTokens(random: Random): Int = random.nextInt(
        promptTokens.first,
        promptTokens.last + 1
    )

    /** Draws the number of output tokens, uniformly from [outputTokens]. */
    fun drawOutputTokens(random: Random): Int = random.nextInt(
        outputTokens.first,
        outputTokens.last + 1
    )

    private fun mean(range: IntRange) = (range.first + range.last) / 2.0

    companion object {
        /** A grade label for the sorting line or a verdict on a headline. */
        val LABEL = RequestKind("label", 1, 40..200, 4..12, 3_000, 0.42)

        /** An explanation of a defect, streamed to a foreman. */
        val EXPLANATION = RequestKind("explanation", 2, 150..400, 60..140, 12_000, 0.24)

        /** A question of an editor about usage. */
        val QUESTION = RequestKind("question", 3, 100..400, 60..180, 15_000, 0.2)

        /** A shift report or the review of a feature, about forty times the tokens of a label. */
        val REPORT = RequestKind("report", 4, 3_000..7_000, 200..400, 60_000, 0.04)

        /** A command to the reject gate or the publication of a ruling, which runs at most once. */
        val COMMAND = RequestKind("command", 1, 0..0, 0..0, 3_000, 0.05, ServiceUse.COMMAND)

        /** A read of a status or the lookup of an entry. */
        val READ = RequestKind("read", 3, 0..0, 0..0, 3_000, 0.05, ServiceUse.READ)

        /** The combined mix of both users. */
        val mix = listOf(LABEL, EXPLANATION, QUESTION, REPORT, COMMAND, READ)
    }
}
