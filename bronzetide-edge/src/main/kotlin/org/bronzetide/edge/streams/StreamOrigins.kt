package org.bronzetide.edge.streams

import org.bronzetide.scheduling.streams.StreamOrigin

/** Where streams have begun, for requests that take them up again. */
internal interface StreamOrigins {
    /**
     * Records that a stream goes on, or has begun, at [origin]. [firstRequestId] is the caller's
     * request that brought its first event.
     */
    fun onFirstEvent(firstRequestId: String, origin: StreamOrigin)

    /**
     * Finds where the stream that began with [firstRequestId] may go on, among [services]. A
     * [firstRequestId] of `null` is a stream that the caller does not name.
     */
    suspend fun find(firstRequestId: String?, services: List<String>): Continuation

    /** Remembers nothing; for paths without callers that take streams up. */
    object None : StreamOrigins {
        override fun onFirstEvent(firstRequestId: String, origin: StreamOrigin) = Unit

        override suspend fun find(firstRequestId: String?, services: List<String>): Continuation =
            Continuation.Unknown("origin of the stream is not known")
    }

    /** Whether a stream may go on. */
    sealed class Continuation {
        /** Only targets of [origin] may continue the stream. */
        data class At(val origin: StreamOrigin) : Continuation()

        /**
         * The stream cannot go on for [reason]. A retry may succeed after [retryAfterMs], or never
         * if that is `null`.
         */
        data class Unknown(val reason: String, val retryAfterMs: Long? = null) : Continuation()
    }
}
