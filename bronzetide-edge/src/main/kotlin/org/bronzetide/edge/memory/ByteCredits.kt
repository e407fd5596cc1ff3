package org.bronzetide.edge.memory

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** Grants up to [maxBytes] at a time, in the order in which they are asked for. */
internal class ByteCredits(private val maxBytes: Long) {
    private val waiting = ArrayDeque<Waiter>()

    /** The bytes that are granted now. */
    var heldBytes = 0L
        private set

    /**
     * Waits up to [maxWaitMs] milliseconds for [bytes], or for all if that is less, and returns
     * `null` if there was no place.
     */
    suspend fun acquire(bytes: Long, maxWaitMs: Long): Grant? {
        val waiter = Waiter(Grant(minOf(bytes, maxBytes)))
        waiting += waiter
        grantNext()
        var isTaken = false
        try {
            withTimeoutOrNull(maxWaitMs) { waiter.isGranted.await() } ?: return null
            isTaken = true
            return waiter.grant
        } finally {
            if (!isTaken) giveUp(waiter)
        }
    }

    /** Returns a grant of [bytes] if there is a place now, or `null`. */
    fun tryAcquire(bytes: Long): Grant? {
        if (waiting.isNotEmpty() || heldBytes + bytes > maxBytes) return null
        heldBytes += bytes
        return Grant(bytes)
    }

    private fun giveUp(waiter: Waiter) {
        val isGranted = !waiting.remove(waiter)
        if (isGranted) waiter.grant.close() else grantNext()
    }

    private fun grantNext() {
        while (true) {
            val next = waiting.firstOrNull() ?: return
            if (heldBytes + next.grant.bytes > maxBytes) return
            waiting.removeFirst()
            heldBytes += next.grant.bytes
            next.isGranted.complete(Unit)
        }
    }

    /** Bytes that are held until they are given back. */
    inner class Grant(bytes: Long) : AutoCloseable {
        var bytes = bytes
            private set

        /** Gives back all but [left] bytes. */
        fun shrinkTo(left: Long) {
            if (left >= bytes) return
            heldBytes -= bytes - left
            bytes = left
            grantNext()
        }

        override fun close() = shrinkTo(0)
    }

    private inner class Waiter(val grant: Grant) {
        val isGranted = CompletableDeferred<Unit>()
    }
}
