package org.bronzetide.scheduling.fleet

import kotlin.math.abs

/**
 * Estimates how long the requests of each service take, from sending them to the first event, or
 * to the response if that is not streamed.
 *
 * The estimate does not depend on the size of a request: a longer time for long prompts would make
 * these late sooner, and in an overload few of them would be served.
 */
internal class ResponseTimes {
    private val estimates = HashMap<String, Estimate>()

    /** The time within which most requests of [service] are served, in ms; 0 if not yet known. */
    fun usualMs(service: String): Long = estimates[service]?.usualMs ?: 0

    fun addSample(service: String, tookMs: Long) =
        estimates.getOrPut(service) { Estimate() }.addSample(tookMs)

    /** Moving averages of a time and of its deviation. */
    private class Estimate {
        private var averageMs = 0.0
        private var deviationMs = 0.0
        private var samples = 0

        val usualMs: Long get() = (averageMs + DEVIATIONS * deviationMs).toLong()

        fun addSample(tookMs: Long) {
            samples++
            val gain = maxOf(GAIN, 1.0 / samples)
            if (samples > 1) deviationMs += (abs(tookMs - averageMs) - deviationMs) * gain
            averageMs += (tookMs - averageMs) * gain
        }
    }

    private companion object {
        const val GAIN = 0.02

        /** In mean deviations; covers about nine in ten times that are distributed normally. */
        const val DEVIATIONS = 2
    }
}
