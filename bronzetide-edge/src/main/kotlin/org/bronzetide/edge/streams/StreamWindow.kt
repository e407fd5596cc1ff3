package org.bronzetide.edge.streams

import org.bronzetide.coordination.TimerService
import org.bronzetide.scheduling.streams.ServedVersions

/**
 * How long a stream and the requests that take it up may last, by the time limits of routes.
 *
 * A shorter window takes effect when the longer one has passed: until then, streams that began
 * under the longer time limit may be taken up. Confined to the control thread.
 */
internal class StreamWindow(
    private val timers: TimerService,
    private val versions: ServedVersions
) {
    private var latestMs: Long? = null
    private var changeCount = 0

    /** Takes over the longest time limit of the routes whose streams may be resumed. */
    fun onTimeLimit(longestMs: Long) {
        val nextMs =
            (longestMs * WINDOW_TIMEOUTS).coerceIn(MIN_WINDOW_MS, ServedVersions.MAX_WINDOW_MS)
        val isFirst = latestMs == null
        if (nextMs == latestMs) return
        latestMs = nextMs
        val change = ++changeCount
        if (isFirst || nextMs >= versions.windowMs) {
            versions.windowMs = nextMs
        } else {
            timers.after(versions.windowMs) {
                if (change == changeCount) versions.windowMs = nextMs
            }
        }
    }

    private companion object {
        /** A stream and the requests that take it up each end within their route's time limit. */
        const val WINDOW_TIMEOUTS = 2L
        const val MIN_WINDOW_MS = 10_000L
    }
}
