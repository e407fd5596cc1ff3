package org.bronzetide.scheduling.fleet

/** How long the answers of a plain service take, as a moving average. */
internal class ResponseTimeEstimator {
    private var averageMs = 0.0
    private var samples = 0

    val expectedMs: Long get() = averageMs.toLong()

    fun addSample(tookMs: Long) {
        samples++
        averageMs += (tookMs - averageMs) * maxOf(GAIN, 1.0 / samples)
    }

    private companion object {
        const val GAIN = 0.02
    }
}
