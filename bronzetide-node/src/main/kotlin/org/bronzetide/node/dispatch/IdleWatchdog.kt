package org.bronzetide.node.dispatch

import kotlinx.coroutines.delay
import org.bronzetide.coordination.MonotonicClock

/** Notices that nothing was received for [limitMs], time spent on passing things on left out. */
internal class IdleWatchdog(private val clock: MonotonicClock, private val limitMs: Long) {
    @Volatile
    private var lastReceivedAtMs = clock.nowMs()

    @Volatile
    private var isPaused = false

    /** Notes that something was received. */
    fun onReceived() {
        lastReceivedAtMs = clock.nowMs()
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
            val idleMs = if (isPaused) 0 else clock.nowMs() - lastReceivedAtMs
            if (idleMs >= limitMs) return
            delay(limitMs - idleMs)
        }
    }
}
