package org.bronzetide.edge.telemetry

import java.util.concurrent.ConcurrentHashMap
import org.bronzetide.coordination.MonotonicClock
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import org.slf4j.event.Level

/**
 * Logs each decision on a request and each change of the observed state as one JSON line.
 *
 * Lines on requests are limited to [MAX_REQUEST_LINES_PER_S]; the number of omitted lines is logged
 * when the next second begins. The appender drops lines instead of blocking.
 *
 * Fields may hold text of callers, of the store or of other hosts: each is cut by [LogValues].
 */
internal class DecisionLog(
    private val clock: MonotonicClock,
    private val omitsRequests: Boolean = false
) {
    private val log: Logger = LoggerFactory.getLogger("decisions")
    private var second = 0L
    private var written = 0
    private var omitted = 0
    private val rareLines = HashMap<String, RareLine>()
    private val loggedStacks = ConcurrentHashMap.newKeySet<String>()

    /** Logs a decision on the request [requestId], unless the limit is reached. */
    fun request(event: String, requestId: String?, vararg fields: Pair<String, Any?>) {
        if (!omitsRequests && tryTakeLine()) {
            write(Level.INFO, event, listOf("requestId" to requestId) + fields)
        }
    }

    /**
     * Logs a decision on the request [requestId] that [cause] led to. The stack is added to the
     * first line only with a cause of the same class that was thrown at the same place.
     */
    fun requestFailure(
        event: String,
        requestId: String?,
        cause: Throwable,
        vararg fields: Pair<String, Any?>
    ) {
        val place = "${cause.javaClass.name} ${cause.stackTrace.firstOrNull()}"
        val isNew = loggedStacks.size < MAX_LOGGED_STACKS && loggedStacks.add(place)
        val stack = if (isNew) LogValues.Stack(cause.stackTraceToString()) else null
        request(
            event,
            requestId,
            *fields,
            "cause" to cause.javaClass.name,
            "message" to cause.message,
            "stack" to stack
        )
    }

    /** Logs a change of the observed state, or of the state of the process itself. */
    fun stateChange(event: String, vararg fields: Pair<String, Any?>) =
        write(Level.INFO, event, fields.asList())

    /** Logs a failure after which the process continues. */
    fun failure(event: String, cause: Throwable?, vararg fields: Pair<String, Any?>) =
        write(Level.WARN, event, fields.toList() + ("cause" to cause?.toString()))

    /**
     * Logs a failure that others may cause at any rate, at most once in [RARE_INTERVAL_MS] for each
     * [event] and [kind]. The number of lines omitted since the previous one is added.
     */
    fun rareFailure(
        event: String,
        kind: String,
        cause: Throwable?,
        vararg fields: Pair<String, Any?>
    ) {
        val omittedBefore = tryTakeRareLine("$event $kind") ?: return
        val added = listOf("omitted" to omittedBefore.takeIf { it > 0 }, "kind" to kind)
        failure(event, cause, *fields, *added.toTypedArray())
    }

    /** Returns the number of lines omitted since the previous one, or `null` to omit this one. */
    @Synchronized
    private fun tryTakeRareLine(key: String): Int? {
        val nowMs = clock.nowMs()
        val isKnown = key in rareLines || rareLines.size < MAX_RARE_LINES
        val line = rareLines.getOrPut(if (isKnown) key else OTHER_RARE_LINES) { RareLine() }
        if (line.loggedAtMs?.let { nowMs - it < RARE_INTERVAL_MS } == true) {
            line.omitted++
            return null
        }
        line.loggedAtMs = nowMs
        return line.omitted.also { line.omitted = 0 }
    }

    @Synchronized
    private fun tryTakeLine(): Boolean {
        val now = clock.nowMs() / MS_PER_S
        if (now != second) {
            if (omitted > 0) write(Level.INFO, "request lines omitted", listOf("count" to omitted))
            second = now
            written = 0
            omitted = 0
        }
        if (written >= MAX_REQUEST_LINES_PER_S) {
            omitted++
            return false
        }
        written++
        return true
    }

    private fun write(level: Level, event: String, fields: List<Pair<String, Any?>>) {
        // The time of day may jump; this one orders the lines of a host.
        var line = log.atLevel(level).addKeyValue("steadyMs", clock.nowMs())
        fields.forEach { (name, value) ->
            if (value != null) line = line.addKeyValue(name, LogValues.bounded(value))
        }
        line.log(event)
    }

    private class RareLine {
        var loggedAtMs: Long? = null
        var omitted = 0
    }

    internal companion object {
        /** More than the lines of 60 requests per second, the rate on the largest hosts. */
        private const val MAX_REQUEST_LINES_PER_S = 200
        private const val MS_PER_S = 1_000

        /** Bounds the memory for the places of failures; there are a few in a faulty process. */
        private const val MAX_LOGGED_STACKS = 100

        const val RARE_INTERVAL_MS = 10_000L

        /** Bounds the memory for kinds of failures; further kinds share a line. */
        private const val MAX_RARE_LINES = 100
        private const val OTHER_RARE_LINES = ""
    }
}
