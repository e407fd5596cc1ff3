package org.bronzetide.scheduling.streams

/** Identifies a stream by a hash of the id of the caller's request that brought its first event. */
@JvmInline
public value class StreamId(public val value: Long) {
    public companion object {
        private const val FNV_OFFSET = -3750763034362895579L
        private const val FNV_PRIME = 1099511628211L
        private const val MIX_1 = -49064778989728563L
        private const val MIX_2 = -4265267296055464877L

        /**
         * Returns the id of the stream that began with the request [requestId]: FNV-1a with the
         * finalizer of MurmurHash3. All hosts compute the same.
         */
        public fun of(requestId: String): StreamId {
            var hash = FNV_OFFSET
            for (char in requestId) hash = (hash xor char.code.toLong()) * FNV_PRIME
            hash = (hash xor (hash ushr 33)) * MIX_1
            hash = (hash xor (hash ushr 33)) * MIX_2
            return StreamId(hash xor (hash ushr 33))
        }
    }
}
