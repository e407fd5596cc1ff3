package org.bronzetide.edge.entry

import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CompletableDeferred

/** Counts the requests in progress and notifies connections when the process starts to drain. */
internal class InFlightRequests {
    private val counter = AtomicInteger()
    private val idleClose = CompletableDeferred<Unit>()

    /** The number of requests in progress. */
    val count: Int get() = counter.get()

    /** Whether the process is draining, so that connections close after their current request. */
    @Volatile
    var isDraining = false

    /** Whether the process takes no further requests, as it may end before they do. */
    val isClosed: Boolean get() = idleClose.isCompleted

    /** Closes the connections on which no request is in progress. */
    fun closeIdleConnections() {
        idleClose.complete(Unit)
    }

    /** Waits until idle connections are to be closed. */
    suspend fun awaitIdleClose() = idleClose.await()

    /** Runs [block] and counts it as a request in progress. */
    suspend fun <T> track(block: suspend () -> T): T {
        counter.incrementAndGet()
        try {
            return block()
        } finally {
            counter.decrementAndGet()
        }
    }
}
