package org.bronzetide.edge.memory

/**
 * Holds what callers that read slowly have not taken yet, and decides which of them to cut off.
 *
 * Each connection, each account and all accounts together have a limit. A connection at its limit
 * has no room until its caller has taken something. When an account reaches its limit, its
 * connection with the most bytes is cut; when the total is reached, that of the account with the
 * most bytes. Among equals it is the one that has been open the longest.
 *
 * Only connections that hold bytes are known here, so callers that read fast enough cost nothing.
 * Confined to one thread.
 */
internal class OutputBuffer(private val limits: Limits) {
    private val accounts = LinkedHashMap<String?, AccountUse>()

    /** The bytes that are held now for all connections. */
    var heldBytes = 0L
        private set

    /** The connections that hold bytes now. */
    val connectionCount: Int get() = accounts.values.sumOf { it.connections.size }

    /** The most bytes that may be held for a connection, for an account and in total. */
    data class Limits(val connectionBytes: Long, val accountBytes: Long, val totalBytes: Long)

    /** The limit that a connection was cut for. */
    enum class Limit { CONNECTION, ACCOUNT, TOTAL }

    /** The cut of a connection: the limit that was reached, and the bytes held just before it. */
    data class Cut(
        val limit: Limit,
        val connectionBytes: Long,
        val accountBytes: Long,
        val totalBytes: Long
    )

    /**
     * Opens a connection of [account]; those without an account share one use. [onCut] is called
     * once if it is cut, when nothing is held for it any more.
     */
    fun open(account: String?, onCut: (Cut) -> Unit): Connection {
        val use = accounts.getOrPut(account) { AccountUse(account) }
        return Connection(use, onCut).also { use.connections += it }
    }

    private fun enforceLimits(use: AccountUse) {
        while (use.heldBytes > limits.accountBytes) use.largest().cut(Limit.ACCOUNT)
        while (heldBytes > limits.totalBytes) {
            accounts.values.maxBy { it.heldBytes }.largest().cut(Limit.TOTAL)
        }
    }

    internal class AccountUse(val account: String?) {
        var heldBytes = 0L
        val connections = LinkedHashSet<Connection>()

        fun largest(): Connection = connections.maxBy { it.heldBytes }
    }

    /** What is held for one caller: chunks in their order, behind those bytes in its socket. */
    inner class Connection internal constructor(
        private val use: AccountUse,
        private val onCut: (Cut) -> Unit
    ) : AutoCloseable {
        private val chunks = ArrayDeque<ByteArray>()
        private var socketBytes = 0L
        private var isOpen = true

        /** The bytes that are held now for this connection. */
        var heldBytes = 0L
            private set

        /** Whether [chunk] fits into the limit of the connection. Any fits if nothing is held. */
        fun hasRoom(chunk: ByteArray): Boolean =
            heldBytes == 0L || heldBytes + costOf(chunk) <= limits.connectionBytes

        /** Counts [bytes] that wait in the connection's socket. */
        fun holdInSocket(bytes: Long) {
            socketBytes += bytes
            hold(bytes)
        }

        /** Adds [chunk] behind the others. Connections may be cut for it, this one included. */
        fun add(chunk: ByteArray) {
            if (!isOpen) return
            chunks += chunk
            hold(costOf(chunk))
        }

        /** Returns the next chunk, which counts as held until [onFlushed], or `null`. */
        fun takeNext(): ByteArray? {
            val chunk = chunks.removeFirstOrNull() ?: return null
            socketBytes += costOf(chunk)
            return chunk
        }

        /** The socket has taken all its bytes. */
        fun onFlushed() {
            if (!isOpen) return
            hold(-socketBytes)
            socketBytes = 0
        }

        /** Cuts this connection, as there was no room for the next chunk in time. */
        fun cutAtLimit() = cut(Limit.CONNECTION)

        internal fun cut(limit: Limit) {
            if (!isOpen) return
            val cut = Cut(limit, heldBytes, use.heldBytes, this@OutputBuffer.heldBytes)
            close()
            onCut(cut)
        }

        /** Drops what is held. */
        override fun close() {
            if (!isOpen) return
            hold(-heldBytes)
            isOpen = false
            chunks.clear()
            use.connections -= this
            if (use.connections.isEmpty()) accounts -= use.account
        }

        private fun hold(bytes: Long) {
            if (!isOpen) return
            heldBytes += bytes
            use.heldBytes += bytes
            this@OutputBuffer.heldBytes += bytes
            if (bytes > 0) enforceLimits(use)
        }

        private fun costOf(chunk: ByteArray): Long = chunk.size + CHUNK_OVERHEAD_BYTES
    }

    internal companion object {
        /** An array's header and its place in the queue; most events are hardly larger. */
        const val CHUNK_OVERHEAD_BYTES = 32L

        // Bodies and unfinished events may take 0.54 of the heap. With a total of 0.08, over a
        // third is left to everything else.
        private const val TOTAL_SHARE = 0.08

        /** One account whose callers all read slowly leaves more than half to the others. */
        private const val ACCOUNT_SHARE = 0.03

        /** 335 kB of a heap of 64 MB: some thousand events, and more than the largest event. */
        private const val CONNECTION_SHARE = 0.005

        /** Returns the buffer for a process whose heap may grow to [heapBytes]. */
        fun ofHeap(heapBytes: Long = Runtime.getRuntime().maxMemory()): OutputBuffer = OutputBuffer(
            Limits(
                (heapBytes * CONNECTION_SHARE).toLong(),
                (heapBytes * ACCOUNT_SHARE).toLong(),
                (heapBytes * TOTAL_SHARE).toLong()
            )
        )
    }
}
