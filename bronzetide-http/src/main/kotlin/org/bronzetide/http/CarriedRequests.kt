package org.bronzetide.http

/**
 * The ids of the requests that a connection has carried, kept as hashes. A collision makes an id
 * count as carried, which costs a new connection and nothing else.
 *
 * For one thread at a time.
 */
internal class CarriedRequests {
    private var hashes = LongArray(INITIAL_CAPACITY)
    private var size = 0

    /** Whether the connection must not carry another request. */
    val isFull: Boolean get() = size >= MAX_REQUESTS

    operator fun contains(requestId: String): Boolean {
        val hash = hash(requestId)
        return (0 until size).any { hashes[it] == hash }
    }

    fun add(requestId: String) {
        if (size == hashes.size) hashes = hashes.copyOf(size * 2)
        hashes[size++] = hash(requestId)
    }

    /** FNV-1a with 64 bits. */
    private fun hash(text: String): Long =
        text.fold(FNV_OFFSET) { hash, char -> (hash xor char.code.toLong()) * FNV_PRIME }

    private companion object {
        const val INITIAL_CAPACITY = 8

        /** Bounds the memory of a connection to 4 KB and the time of a look-up. */
        const val MAX_REQUESTS = 512
        const val FNV_OFFSET = -3_750_763_034_362_895_579L
        const val FNV_PRIME = 1_099_511_628_211L
    }
}
