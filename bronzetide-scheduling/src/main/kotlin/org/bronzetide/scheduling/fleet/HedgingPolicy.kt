package org.bronzetide.scheduling.fleet

import kotlin.math.ceil

/**
 * Decides when a request that may be repeated is sent to a second target, because the first one is
 * slower than usual (a hedge), and whether that is allowed.
 *
 * A request is hedged once it has waited longer than [QUANTILE] of the latest responses of its
 * service to prompts of about the same length. Prompts count as about equally long if their numbers
 * of tokens have the same highest bit, so one is less than twice as long as another.
 *
 * Each request of a service earns [share] of a hedge, and a hedge costs one; so the share holds for
 * the sum over all hosts without communication. No more than [MAX_SAVED_HEDGES] are saved.
 *
 * The policy has no clock and does no I/O. With a share of 0 it records nothing. Single-threaded.
 */
public class HedgingPolicy(private val share: HedgingShare) {
    private val services = HashMap<String, ServiceRecord>()

    /** Whether requests may be hedged at all. */
    public val isEnabled: Boolean get() = share != HedgingShare.OFF

    /** Counts a request for [service], which adds to its hedges. */
    public fun onRequest(service: String) {
        if (!isEnabled) return
        val record = recordOf(service)
        val earned = record.savedMillionths + share.millionths
        record.savedMillionths = minOf(earned, MAX_SAVED_HEDGES * HEDGE_MILLIONTHS)
    }

    /**
     * Records that the first event of a response, or the head of a response without events, took
     * [tookMs] milliseconds from the first send of its request.
     *
     * A run that was abandoned for another one counts with the time that it had been waited for:
     * without the slowest runs, the quantile would fall with each hedge. A hedge itself does not
     * count, as only fast ones get to respond.
     */
    public fun onFirstEvent(service: String, promptTokens: Int, tookMs: Long) {
        if (isEnabled) recordOf(service).timesFor(promptTokens).add(tookMs)
    }

    /**
     * The time after which a request for [service] is hedged, in milliseconds from its send; `null`
     * if it is not hedged, as too few responses to prompts of about that length are known.
     */
    public fun hedgeAfterMs(service: String, promptTokens: Int): Long? =
        if (isEnabled) recordOf(service).timesFor(promptTokens).quantileMs()?.plus(1) else null

    /** Whether [service] has a hedge left. */
    public fun hasHedge(service: String): Boolean =
        isEnabled && recordOf(service).savedMillionths >= HEDGE_MILLIONTHS

    /**
     * Decides whether a request for [service] that is due for a hedge gets one, and consumes the
     * hedge then. [hasSpareSlot] tells whether the service has capacity to spare; [tryRetry]
     * consumes one retry from the service's budget and returns whether one was left.
     */
    public fun decide(
        service: String,
        hasSpareSlot: Boolean,
        tryRetry: () -> Boolean
    ): HedgingDecision = when {
        !hasHedge(service) -> HedgingDecision.SHARE_USED_UP

        !hasSpareSlot -> HedgingDecision.SERVICE_FULL

        !tryRetry() -> HedgingDecision.RETRY_BUDGET_SPENT

        else -> {
            recordOf(service).savedMillionths -= HEDGE_MILLIONTHS
            HedgingDecision.SEND
        }
    }

    private fun recordOf(service: String) = services.getOrPut(service) { ServiceRecord() }

    private class ServiceRecord {
        var savedMillionths = 0L
        private val timesByLength = HashMap<Int, RecentTimes>()

        fun timesFor(promptTokens: Int): RecentTimes {
            val highestBit = promptTokens.coerceAtLeast(0).takeHighestOneBit()
            return timesByLength.getOrPut(highestBit) { RecentTimes() }
        }
    }

    /** The latest [MAX_SAMPLES] times in milliseconds. */
    private class RecentTimes {
        private val timesMs = LongArray(MAX_SAMPLES)
        private var count = 0L
        private var quantileMs = 0L

        /** The number of samples at which [quantileMs] was calculated. */
        private var calculatedAtCount = 0L

        fun add(timeMs: Long) {
            timesMs[(count % MAX_SAMPLES).toInt()] = timeMs
            count++
        }

        fun quantileMs(): Long? {
            if (count < MIN_SAMPLES) return null
            if (calculatedAtCount == 0L || count - calculatedAtCount >= CALCULATION_INTERVAL) {
                val sorted = timesMs.copyOf(minOf(count, MAX_SAMPLES.toLong()).toInt())
                sorted.sort()
                quantileMs = sorted[ceil(sorted.size * QUANTILE).toInt() - 1]
                calculatedAtCount = count
            }
            return quantileMs
        }
    }

    private companion object {
        const val HEDGE_MILLIONTHS = 1_000_000L

        /** Bounds what a host sends at once when a target that many wait for turns slow. */
        const val MAX_SAVED_HEDGES = 4

        const val QUANTILE = 0.95

        /** The fewest samples of which two are above the quantile. */
        const val MIN_SAMPLES = 40

        /** A host has some ten requests a second, so these are from the last minutes. */
        const val MAX_SAMPLES = 256

        /** Sorting at each request would take longer than the rest of the decision. */
        const val CALCULATION_INTERVAL = 16
    }
}
