package org.bronzetide.edge.telemetry

import org.bronzetide.coordination.MonotonicClock
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import org.slf4j.event.Level

/**
 * Writes one JSON line for each decision on a request and each change of what the process believes.
 *
 * Lines on requests are bounded by [MAX_REQUEST_LINES_PER_S]; the number of those left out is
 * written once a second. The appender behind it drops lines rather than blocking.
 */
internal class DecisionLog(
    private val clock: MonotonicClock,
    private val omitsRequests: Boolean = false
) {
    private val log: Logger = LoggerFactory.getLogger("decisions")
    private var second = 0L
    private var lines = 0
    private var leftOut = 0

    /** Writes a decision on the request [requestId]. */
    fun request(event: String, requestId: String?, vararg fields: Pair<String, Any?>) {
        if (!omitsRequests &&
            takeLine()
        ) {
            write(Level.INFO, event, listOf("requestId" to requestId) + fields)
        }
    }

    /** Writes a change of what the process believes, or of its own state. */
    fun stateChange(event: String, vararg fields: Pair<String, Any?>) =
        write(Level.INFO, event, fields.asList())

    /** Writes a failure that the process goes on after. */
    fun failure(event: String, cause: Throwable?, vararg fields: Pair<String, Any?>) =
        write(Level.WARN, event, fields.toList() + ("cause" to cause?.toString()))

    @Synchronized
    private fun takeLine(): Boolean {
        val now = clock.nowMs() / MS_PER_S
        if (now != second) {
            if (leftOut > 0) write(Level.INFO, "lines left out", listOf("count" to leftOut))
            second = now
            lines = 0
            leftOut = 0
        }
        if (lines >= MAX_REQUEST_LINES_PER_S) {
            leftOut++
            return false
        }
        lines++
        return true
    }

    private fun write(level: Level, event: String, fields: List<Pair<String, Any?>>) {
        var line = log.atLevel(level)
        fields.forEach { (name, value) -> if (value != null) line = line.addKeyValue(name, value) }
        line.log(event)
    }

    private companion object {
        /** Over the lines of 60 requests a second, which one host of the largest size sees. */
        const val MAX_REQUEST_LINES_PER_S = 200
        const val MS_PER_S = 1_000
    }
}
