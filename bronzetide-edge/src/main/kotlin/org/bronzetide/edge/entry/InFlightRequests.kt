package org.bronzetide.edge.entry

import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CompletableDeferred

/** Counts the requests inside the process, and carries the word that it stops. */
internal class InFlightRequests {
    private val requests = AtomicInteger()
    private val idleClose = CompletableDeferred<Unit>()

    /** The requests that are being served. */
    val count: Int get() = requests.get()

    /** Whether the process stops: connections end after their current request. */
    @Volatile
    var isDraining = false

    /** Ends the connections on which no request is under way. */
    fun closeIdleConnections() {
        idleClose.complete(Unit)
    }

    suspend fun awaitIdleClose() = idleClose.await()

    suspend fun <T> track(block: suspend () -> T): T {
        requests.incrementAndGet()
        try {
            return block()
        } finally {
            requests.decrementAndGet()
        }
    }
}
