package org.bronzetide.bench

import kotlin.random.Random

/** One kind of work in the users' mix. Times are in the engines' own milliseconds. */
internal data class RequestKind(
    val name: String,
    val tier: Int,
    val promptTokens: IntRange,
    val outputTokens: IntRange,
    val deadlineMs: Long,
    /** The share of the mix, in requests. */
    val share: Double,
    val service: ServiceUse = ServiceUse.NONE
) {
    /** How a kind uses the plain service. */
    enum class ServiceUse { NONE, READ, COMMAND }

    /** The time that the kind takes of an engine of speed 1, in seconds. */
    val engineSeconds: Double
        get() = if (service != ServiceUse.NONE) {
            0.0
        } else {
            mean(promptTokens) / FleetProfile.PREFILL_TOKENS_PER_S +
                mean(outputTokens) * FleetProfile.BATCHED_TOKEN_MS / 1_000
        }

    fun drawPromptTokens(random: Random): Int = random.nextInt(
        promptTokens.first,
        promptTokens.last + 1
    )

    fun drawOutputTokens(random: Random): Int = random.nextInt(
        outputTokens.first,
        outputTokens.last + 1
    )

    private fun mean(range: IntRange) = (range.first + range.last) / 2.0

    companion object {
        /** A grade label of the sorting line, or a headline verdict. */
        val LABEL = RequestKind("label", 1, 40..200, 4..12, 3_000, 0.42)

        /** A defect explanation, streamed to a foreman. */
        val EXPLANATION = RequestKind("explanation", 2, 150..400, 60..140, 12_000, 0.24)

        /** A usage question of an editor. */
        val QUESTION = RequestKind("question", 3, 100..400, 60..180, 15_000, 0.2)

        /** A shift report or a full feature's review, a hundred times a label. */
        val REPORT = RequestKind("report", 4, 3_000..7_000, 200..400, 60_000, 0.04)

        /** A reject-gate command or a ruling's publication, which runs at most once. */
        val COMMAND = RequestKind("command", 1, 0..0, 0..0, 3_000, 0.05, ServiceUse.COMMAND)

        /** A status read or an entry's lookup. */
        val READ = RequestKind("read", 3, 0..0, 0..0, 3_000, 0.05, ServiceUse.READ)

        /** The mix of both users. */
        val mix = listOf(LABEL, EXPLANATION, QUESTION, REPORT, COMMAND, READ)
    }
}
