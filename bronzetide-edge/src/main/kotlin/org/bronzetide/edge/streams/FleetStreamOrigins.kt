package org.bronzetide.edge.streams

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.scheduling.streams.StreamId
import org.bronzetide.scheduling.streams.StreamOrigin

/**
 * Where streams have begun, as far as the fleet knows. May be called on any thread; the state is
 * that of the control thread, whose tasks run in the order of their calls: a stream whose first
 * event has been reported is found by a call after that.
 */
internal class FleetStreamOrigins(
    private val control: ControlLoop,
    private val exchange: StreamExchange,
    private val resolver: StreamResolver
) : StreamOrigins {
    override fun onFirstEvent(firstRequestId: String, origin: StreamOrigin) {
        val id = StreamId.of(firstRequestId)
        control.post { exchange.record(id, origin) }
    }

    override suspend fun find(
        firstRequestId: String?,
        services: List<String>
    ): StreamOrigins.Continuation {
        val result = CompletableDeferred<StreamOrigins.Continuation>()
        val id = firstRequestId?.let(StreamId::of)
        control.call { resolver.resolve(id, services) { result.complete(it) } }
        // A failure on the control thread may leave a query without its end.
        return withTimeoutOrNull(LIMIT_MS) { result.await() }
            ?: StreamOrigins.Continuation.Unknown("the query for the stream failed", RETRY_AFTER_MS)
    }

    private companion object {
        /** Longer than a query of the hosts and two reads of a slow store take. */
        const val LIMIT_MS = 2_000L
        const val RETRY_AFTER_MS = 500L
    }
}
