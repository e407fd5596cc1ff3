package org.bronzetide.node.operator

import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.RefusalReason

/** Counts the refusals of the last minute by reason, at most the newest [MAX_ENTRIES]. */
internal class RecentRefusals(private val clock: MonotonicClock) {
    private val entries = ArrayDeque<Pair<Long, RefusalReason>>()

    @Synchronized
    fun add(reason: RefusalReason) {
        entries.addLast(clock.nowMs() to reason)
        if (entries.size > MAX_ENTRIES) entries.removeFirst()
    }

    /** Returns the counts by reason, the most frequent first. */
    @Synchronized
    fun counts(): List<RecentRefusal> {
        val sinceMs = clock.nowMs() - WINDOW_MS
        while ((entries.firstOrNull()?.first ?: Long.MAX_VALUE) < sinceMs) entries.removeFirst()
        return entries.groupingBy { it.second }.eachCount()
            .map { RecentRefusal(it.key.label, it.value) }
            .sortedByDescending { it.count }
    }

    private companion object {
        const val WINDOW_MS = 60_000L
        const val MAX_ENTRIES = 5_000
    }
}
