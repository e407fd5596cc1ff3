package org.bronzetide.node.dispatch

import kotlinx.coroutines.delay
import org.bronzetide.coordination.MonotonicClock

/** Notices that nothing was received for [limitMs], time spent on passing things on left out. */
internal class IdleWatchdog(private val clock: MonotonicClock, private val limitMs: Long) {
    @Volatile
    private var touchedAtMs = clock.nowMs()

    @Volatile
    private var isPaused = false

    /** Notes that something was received. */
    fun onReceived() {
        touchedAtMs = clock.nowMs()
    }

    /** Runs [block], during which silence does not count. */
    suspend fun whilePaused(block: suspend () -> Unit) {
        isPaused = true
        block()
        onReceived()
        isPaused = false
    }

    /** Returns once the limit has passed in silence. */
    suspend fun awaitIdleTimeout() {
        while (true) {
            val quietMs = if (isPaused) 0 else clock.nowMs() - touchedAtMs
            if (quietMs >= limitMs) return
            delay(limitMs - quietMs)
        }
    }
}
