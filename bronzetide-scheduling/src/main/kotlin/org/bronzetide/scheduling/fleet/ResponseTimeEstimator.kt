package org.bronzetide.scheduling.fleet

/** Estimates the response time of a service that does not stream, as a moving average. */
internal class ResponseTimeEstimator {
    private var averageMs = 0.0
    private var samples = 0

    /** The average in milliseconds, or 0 before the first sample. */
    val expectedMs: Long get() = averageMs.toLong()

    fun addSample(responseTimeMs: Long) {
        samples++
        averageMs += (responseTimeMs - averageMs) * maxOf(GAIN, 1.0 / samples)
    }

    private companion object {
        const val GAIN = 0.02
    }
}
