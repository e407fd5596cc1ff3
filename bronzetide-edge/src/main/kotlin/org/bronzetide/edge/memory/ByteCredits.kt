package org.bronzetide.edge.memory

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Grants up to [maxBytes] at a time, in the order in which they are asked for.
 *
 * The first in line needs the longer the more it asks for. A part of each wait is therefore kept
 * for that place: otherwise those that get there in their last moments would be granted little and
 * refused much.
 */
internal class ByteCredits(private val maxBytes: Long) {
    private val waiting = ArrayDeque<Waiter>()

    /** The bytes that are granted now. */
    var heldBytes = 0L
        private set

    /**
     * Waits up to [maxWaitMs] milliseconds for [bytes], or for all if that is less, and returns
     * `null` if there was no place, or if the front of the line was not reached in time.
     */
    suspend fun acquire(bytes: Long, maxWaitMs: Long): Grant? {
        val waiter = Waiter(Grant(minOf(bytes, maxBytes)))
        waiting += waiter
        grantNext()
        var isTaken = false
        try {
            isTaken = withTimeoutOrNull(maxWaitMs) { waiter.awaitGrant(maxWaitMs) } ?: false
            return waiter.grant.takeIf { isTaken }
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
            next.isFirst.complete(Unit)
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
        val isFirst = CompletableDeferred<Unit>()
        val isGranted = CompletableDeferred<Unit>()

        /** Returns whether it was granted, or `false` if it is too late to be the first in line. */
        suspend fun awaitGrant(maxWaitMs: Long): Boolean {
            val maxLineMs = maxWaitMs - maxWaitMs / FIRST_PLACE_DIVISOR
            withTimeoutOrNull(maxLineMs) { isFirst.await() } ?: return false
            isGranted.await()
            return true
        }
    }

    private companion object {
        /** The part of a wait that is kept for the front of the line. */
        const val FIRST_PLACE_DIVISOR = 4
    }
}
