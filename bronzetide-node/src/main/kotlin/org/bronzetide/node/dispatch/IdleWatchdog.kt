package org.bronzetide.node.dispatch

import kotlinx.coroutines.delay
import org.bronzetide.coordination.MonotonicClock

/**
 * Detects that nothing was received for [limitMs] milliseconds. Time spent on forwarding received
 * data is not counted, so that a slow caller does not look like an idle target.
 */
internal class IdleWatchdog(private val clock: MonotonicClock, private val limitMs: Long) {
    @Volatile
    private var lastReceivedAtMs = clock.nowMs()

    @Volatile
    private var isPaused = false

    /** Restarts the timeout, because data was received. */
    fun onReceived() {
        lastReceivedAtMs = clock.nowMs()
    }

    /** Runs [block] while the timeout is suspended, and restarts it afterwards. */
    suspend fun whilePaused(block: suspend () -> Unit) {
        isPaused = true
        block()
        onReceived()
        isPaused = false
    }

    /** Suspends until the timeout has expired. */
    suspend fun awaitIdleTimeout() {
        while (true) {
            val idleMs = if (isPaused) 0 else clock.nowMs() - lastReceivedAtMs
            if (idleMs >= limitMs) return
            delay(limitMs - idleMs)
        }
    }
}
