package org.bronzetide.scheduling

import org.bronzetide.model.CallerId

/**
 * Estimates how many tokens a request will generate, from finished requests of its operation.
 *
 * Without [isLearning], [expectedTokens] is the maximum that the request allows.
 */
public class OutputEstimator(private val isLearning: Boolean = true) {
    private val byCaller = HashMap<Pair<CallerId, String>, Average>()
    private val byOperation = HashMap<String, Average>()

    /** The expected output of [ticket] in tokens, or 1 until its operation has enough samples. */
    public fun expectedTokensOrOne(ticket: Ticket): Int {
        val isKnown = (byOperation[ticket.operation]?.count ?: 0) >= MIN_SAMPLES
        return if (isKnown && isLearning) expectedTokens(ticket) else 1
    }

    /** The expected output of [ticket] in tokens, from 1 to the maximum that it allows. */
    public fun expectedTokens(ticket: Ticket): Int {
        if (!isLearning) return ticket.maxOutputTokens.coerceAtLeast(1)
        val own = byCaller[ticket.caller to ticket.operation]?.takeIf { it.count >= MIN_SAMPLES }
        val estimate = own ?: byOperation[ticket.operation]
        val tokens = estimate?.value ?: (ticket.maxOutputTokens * DEFAULT_OUTPUT_SHARE)
        return tokens.toInt().coerceIn(1, ticket.maxOutputTokens.coerceAtLeast(1))
    }

    /** Learns from the finished request of [ticket], which generated [outputTokens]. */
    public fun learn(ticket: Ticket, outputTokens: Int) {
        val key = ticket.caller to ticket.operation
        if (byCaller.size >= MAX_KEYS && key !in byCaller) byCaller.clear()
        byCaller.getOrPut(key) { Average() }.add(outputTokens.toDouble())
        byOperation.getOrPut(ticket.operation) { Average() }.add(outputTokens.toDouble())
    }

    private class Average {
        var value = 0.0
            private set
        var count = 0
            private set

        fun add(sample: Double) {
            count++
            value += (sample - value) * maxOf(GAIN, 1.0 / count)
        }
    }

    private companion object {
        const val GAIN = 0.1
        const val MIN_SAMPLES = 3
        const val DEFAULT_OUTPUT_SHARE = 0.5
        const val MAX_KEYS = 50_000
    }
}
