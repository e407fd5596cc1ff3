package org.bronzetide.edge.memory

import org.bronzetide.http.BodyTooLargeException
import org.bronzetide.http.MessageBody

/**
 * Bounds the memory of the bodies of requests, or of responses, that are held until their request
 * ends.
 *
 * Bodies of more than [MEDIUM_BYTES] and those of more than [SMALL_BYTES] have a budget each, so
 * that small ones never wait for large ones. A body that does not fit waits in order of arrival; it
 * is not read meanwhile, which holds back its sender. Confined to one thread.
 */
internal class BodyBudget(largeBytes: Long, mediumBytes: Long) {
    private val large = ByteCredits(largeBytes)
    private val medium = ByteCredits(mediumBytes)

    /** The bytes that are held now. */
    val heldBytes: Long get() = large.heldBytes + medium.heldBytes

    /**
     * Reads [body], after waiting up to [maxWaitMs] milliseconds for each place that it needs.
     * Returns `null`, with the rest of the body unread, if there was none.
     *
     * @throws BodyTooLargeException if the body has more than [maxBytes] bytes.
     * @throws java.io.IOException if the connection breaks within the body.
     */
    suspend fun read(body: MessageBody, maxBytes: Int, maxWaitMs: Long): HeldBody? {
        val length = body.lengthBytes
        if (length != null && length > maxBytes) throw BodyTooLargeException(maxBytes)
        val held = HeldBody()
        var isRead = false
        try {
            if (length != null) {
                isRead = held.reserve(length, maxWaitMs)
                if (isRead) held.bytes = body.readAll(maxBytes)
            } else {
                isRead = readUnknown(body, held, maxBytes, maxWaitMs)
            }
            return held.takeIf { isRead }
        } finally {
            if (!isRead) held.close()
        }
    }

    /** Reads a body of unknown length, whose place grows with what has arrived. */
    private suspend fun readUnknown(
        body: MessageBody,
        held: HeldBody,
        maxBytes: Int,
        maxWaitMs: Long
    ): Boolean {
        var bytes = body.readUpTo(SMALL_BYTES)
        if (!body.isComplete) {
            if (!held.reserve(MEDIUM_BYTES.toLong(), maxWaitMs)) return false
            bytes += body.readUpTo(MEDIUM_BYTES - bytes.size)
        }
        if (!body.isComplete && !held.reserve(maxBytes.toLong(), maxWaitMs)) return false
        held.bytes = body.readAll(maxBytes, bytes)
        held.shrink()
        return true
    }

    /** A body whose memory counts until it is closed. */
    inner class HeldBody : AutoCloseable {
        private var grant: ByteCredits.Grant? = null

        var bytes = ByteArray(0)
            internal set

        /** Replaces the place by one of [count] bytes; returns whether there was one. */
        internal suspend fun reserve(count: Long, maxWaitMs: Long): Boolean {
            val credits = when {
                count <= SMALL_BYTES -> return true
                count <= MEDIUM_BYTES -> medium
                else -> large
            }
            val larger = credits.acquire(count, maxWaitMs) ?: return false
            grant?.close()
            grant = larger
            return true
        }

        internal fun shrink() {
            grant?.shrinkTo(bytes.size.toLong())
        }

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

        /** Responses that are not streamed are small; one of the largest has a place. */
        private const val LARGE_RESPONSE_SHARE = 0.08
        private const val MEDIUM_RESPONSE_SHARE = 0.05

        /** Returns a budget of requests for a process whose heap may grow to [heapBytes]. */
        fun ofHeap(heapBytes: Long = Runtime.getRuntime().maxMemory()): BodyBudget =
            BodyBudget((heapBytes * LARGE_SHARE).toLong(), (heapBytes * MEDIUM_SHARE).toLong())

        /** Returns a budget of responses for a process whose heap may grow to [heapBytes]. */
        fun ofResponses(heapBytes: Long = Runtime.getRuntime().maxMemory()): BodyBudget =
            BodyBudget(
                (heapBytes * LARGE_RESPONSE_SHARE).toLong(),
                (heapBytes * MEDIUM_RESPONSE_SHARE).toLong()
            )
    }
}
