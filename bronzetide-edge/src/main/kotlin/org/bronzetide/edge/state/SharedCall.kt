package org.bronzetide.edge.state

import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.MonotonicClock

/**
 * A call whose result is needed by several callers, each of which needs one that was begun after it
 * asked. Callers that wait share the next call. There is at most one call each [minIntervalMs]
 * milliseconds, and each is given up after [limitMs]. May be used on any thread.
 */
internal class SharedCall<T : Any>(
    private val clock: MonotonicClock,
    private val minIntervalMs: Long,
    private val limitMs: Long,
    /** Returns `null` if the result is not to be had at present. */
    private val call: suspend () -> T?
) {
    private val calls = Mutex()
    private val requestCount = AtomicLong()

    /** The last of the requests that the latest call was for, what it brought, and its start. */
    private var lastServed = 0L
    private var lastResult: T? = null
    private var lastCallAtMs: Long? = null

    /** Returns the result of a call that began after this one; `null` if it failed. */
    suspend fun await(): T? {
        val request = requestCount.incrementAndGet()
        return calls.withLock {
            if (lastServed < request) {
                lastCallAtMs?.let { delay(it + minIntervalMs - clock.nowMs()) }
                lastCallAtMs = clock.nowMs()
                lastServed = requestCount.get()
                lastResult = null
                lastResult = withTimeoutOrNull(limitMs) { call() }
            }
            lastResult
        }
    }
}
