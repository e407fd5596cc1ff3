package org.bronzetide.edge.streams

import org.bronzetide.edge.state.software
import org.bronzetide.edge.streams.StreamOrigins.Continuation
import org.bronzetide.platform.fleet.TargetEntry
import org.bronzetide.scheduling.streams.StreamOrigin

/**
 * Knows the streams that this process has begun or continued. Any other stream may go on only if
 * all [targets] that it may have begun at run one version. To be used on the traffic loop.
 */
internal class ProcessStreamOrigins(
    private val maxStreams: Int = MAX_STREAMS,
    private val targets: () -> Collection<TargetEntry>
) : StreamOrigins {
    /** The origins by the id of the stream's first request, the oldest first. */
    private val known = LinkedHashMap<String, StreamOrigin>()

    override fun onFirstEvent(firstRequestId: String, origin: StreamOrigin) {
        known.remove(firstRequestId)
        known[firstRequestId] = origin
        if (known.size > maxStreams) known.remove(known.keys.first())
    }

    override suspend fun find(firstRequestId: String?, services: List<String>): Continuation {
        val origin = known[firstRequestId]
            ?: targets().filter { it.service in services }
                .mapTo(HashSet()) { StreamOrigin(it.service, it.software) }
                .singleOrNull()
        return when {
            origin == null -> Continuation.Unknown("origin of the stream is not known")

            // The route leads elsewhere since.
            origin.service !in services ->
                Continuation.Unknown("route no longer leads to the stream's service")

            else -> Continuation.At(origin)
        }
    }

    private companion object {
        /** Some megabytes at most, with the longest ids that callers use. */
        const val MAX_STREAMS = 10_000
    }
}
