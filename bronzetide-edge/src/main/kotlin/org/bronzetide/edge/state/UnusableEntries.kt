package org.bronzetide.edge.state

import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.platform.fleet.StoredObject

/**
 * Logs the entries of [kind] that are not usable. Another writer may store any number of them and
 * write them any often, so the lines are limited; the others are counted.
 */
internal class UnusableEntries(
    private val kind: String,
    private val event: String,
    private val nameKey: String,
    private val clock: MonotonicClock,
    private val log: DecisionLog
) {
    private var periodStartMs = clock.nowMs()
    private var lineCount = 0
    private var omittedCount = 0
    private var listedCount = 0

    /** The revisions that were logged, by name. */
    private val logged = object : LinkedHashMap<String, Long>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Long>) = size > MAX_LOGGED
    }

    /** Logs [stored], unless it was logged at this revision or the lines are used up. */
    fun onEntry(stored: StoredObject) {
        if (logged[stored.name] == stored.revision) return
        beginPeriodIfDue()
        if (lineCount >= MAX_LINES) {
            omittedCount++
            return
        }
        lineCount++
        logged[stored.name] = stored.revision
        log.stateChange(
            event,
            nameKey to stored.name.take(MAX_LOGGED_CHARS),
            "revision" to stored.revision
        )
    }

    /** Logs [count], the number of entries of a listing that are not usable, if it has changed. */
    fun onListing(count: Int) {
        if (count == listedCount) return
        listedCount = count
        log.stateChange("entries not usable in a listing", "kind" to kind, "count" to count)
    }

    private fun beginPeriodIfDue() {
        val nowMs = clock.nowMs()
        if (nowMs - periodStartMs < PERIOD_MS) return
        if (omittedCount > 0) {
            log.stateChange("entries not usable", "kind" to kind, "omittedLines" to omittedCount)
        }
        periodStartMs = nowMs
        lineCount = 0
        omittedCount = 0
    }

    companion object {
        /** The most characters of a name of another writer in the log. */
        const val MAX_LOGGED_CHARS = 64

        /** The most lines in [PERIOD_MS] milliseconds. */
        const val MAX_LINES = 20
        private const val PERIOD_MS = 60_000L
        private const val MAX_LOGGED = 200
    }
}
