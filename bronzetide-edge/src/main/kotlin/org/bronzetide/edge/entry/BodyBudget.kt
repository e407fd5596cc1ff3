package org.bronzetide.edge.entry

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.http.BodyTooLargeException
import org.bronzetide.http.MessageBody

/**
 * Bounds the memory of the request bodies in progress, which are held until their request ends.
 *
 * Bodies of more than [MEDIUM_BYTES] and those of more than [SMALL_BYTES] have a budget each, so
 * that small requests never wait for large ones. A body that does not fit waits in order of
 * arrival; it is not read meanwhile, which holds back its sender. Confined to one thread.
 */
internal class BodyBudget(largeBytes: Long, mediumBytes: Long) {
    private val large = ByteCredits(largeBytes)
    private val medium = ByteCredits(mediumBytes)

    /** The bytes that are held now. */
    val heldBytes: Long get() = large.heldBytes + medium.heldBytes

    /**
     * Reads [body], after waiting up to [maxWaitMs] milliseconds for its place. Returns `null`,
     * with the rest of the body unread, if there was none.
     *
     * @throws BodyTooLargeException if the body has more than [maxBytes] bytes.
     * @throws java.io.IOException if the connection breaks within the body.
     */
    suspend fun read(body: MessageBody, maxBytes: Int, maxWaitMs: Long): HeldBody? {
        val length = body.lengthBytes
        if (length != null && length > maxBytes) throw BodyTooLargeException(maxBytes)
        val first = if (length == null) body.readUpTo(MEDIUM_BYTES) else ByteArray(0)
        // A chunked body is taken for the largest one until its end is known.
        val needed = length ?: if (body.isComplete) first.size.toLong() else maxBytes.toLong()
        val credits = when {
            needed <= SMALL_BYTES -> null
            needed <= MEDIUM_BYTES -> medium
            else -> large
        }
        val grant = if (credits == null) {
            null
        } else {
            credits.acquire(needed, maxWaitMs) ?: return null
        }
        var isHeld = false
        try {
            val bytes = body.readAll(maxBytes, first)
            grant?.shrinkTo(bytes.size.toLong())
            isHeld = true
            return HeldBody(bytes, grant)
        } finally {
            if (!isHeld) grant?.close()
        }
    }

    /** A body whose memory counts until it is closed. */
    class HeldBody(val bytes: ByteArray, private val grant: AutoCloseable?) : AutoCloseable {
        override fun close() {
            grant?.close()
        }
    }

    internal companion object {
        /** Most bodies; these fit into buffers that each connection has anyway. */
        const val SMALL_BYTES = 4_096

        /** Prompts of some ten thousand tokens. */
        const val MEDIUM_BYTES = 131_072
        private const val LARGE_SHARE = 0.2
        private const val MEDIUM_SHARE = 0.125

        /** Returns a budget for a process whose heap may grow to [heapBytes]. */
        fun ofHeap(heapBytes: Long = Runtime.getRuntime().maxMemory()): BodyBudget =
            BodyBudget((heapBytes * LARGE_SHARE).toLong(), (heapBytes * MEDIUM_SHARE).toLong())
    }
}

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
            if (!isTaken && !waiting.remove(waiter)) waiter.grant.close()
        }
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
