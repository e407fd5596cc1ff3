package org.bronzetide.edge.streams

import kotlin.random.Random

/** Spaces calls to a store that fails. Not thread-safe. */
internal class StoreBackoff(private val random: Random = Random.Default) {
    private var failures = 0
    private var untilMs = Long.MIN_VALUE

    /** Whether the latest call failed. */
    val isFailing: Boolean get() = failures > 0

    /** Whether a call is allowed at [nowMs]. */
    fun mayCall(nowMs: Long): Boolean = nowMs >= untilMs

    fun onSuccess() {
        failures = 0
        untilMs = Long.MIN_VALUE
    }

    fun onFailure(nowMs: Long) {
        val waitMs = FIRST_WAIT_MS shl failures.coerceAtMost(MAX_DOUBLINGS)
        failures++
        untilMs = nowMs + waitMs + random.nextLong(waitMs)
    }

    internal companion object {
        private const val FIRST_WAIT_MS = 150L
        private const val MAX_DOUBLINGS = 3

        /** The longest wait after a failure in milliseconds. */
        const val MAX_WAIT_MS = (FIRST_WAIT_MS shl MAX_DOUBLINGS) * 2
    }
}
