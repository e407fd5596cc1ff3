package org.bronzetide.edge.streams

import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.state.SharedCall
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.platform.fleet.Changes
import org.bronzetide.platform.fleet.FleetStore
import org.bronzetide.platform.fleet.Listing
import org.bronzetide.platform.fleet.ObjectKinds
import org.bronzetide.platform.fleet.StoreEra
import org.bronzetide.platform.fleet.StoreResult
import org.bronzetide.platform.fleet.StoredObject
import org.bronzetide.scheduling.fleet.SoftwareVersion
import org.bronzetide.scheduling.streams.ServedVersions
import org.bronzetide.scheduling.streams.StreamId
import org.bronzetide.scheduling.streams.StreamOrigin

/**
 * The streams that hosts have written to the store, for take-ups of streams whose hosts are lost or
 * do not reply.
 *
 * Nothing is read until a stream is searched for. The first read lists the objects of all hosts;
 * the next ones ask for those that were written since. What was read is kept until no stream of it
 * can be taken up any more, with eight bytes a stream. An origin never changes, so that what was
 * read stays true, also of objects that were removed since or lost by a restoration.
 *
 * May be used on any thread.
 */
internal class StoredOrigins(
    private val store: FleetStore,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val metrics: EdgeMetrics
) {
    /** What the store tells of a stream. */
    sealed class Found {
        /** A host has begun it at [origin]. */
        data class At(val origin: StreamOrigin) : Found()

        /** No host has written it. */
        data object Missing : Found()

        /** The store could not be read. */
        data object Unavailable : Found()
    }

    /** The ids of streams that began at [origin], in ascending order. */
    private class Group(val origin: StreamOrigin, val sortedIds: LongArray)

    private class Position(val revision: Long, val era: StoreEra?)

    private class Content(
        val groupsByHost: Map<String, List<Group>>,
        /** From where to ask for changes; `null` if the last listing was incomplete. */
        val position: Position?,
        /** When the last complete read began. */
        val completeAtMs: Long?,
        val readAtMs: Long
    )

    @Volatile
    private var content: Content? = null

    private val reads = SharedCall(clock, MIN_INTERVAL_MS, LIMIT_MS, ::read)

    /**
     * Searches for the stream [id]. Reads the store unless the stream was found by an earlier read,
     * or the store was read later than [sinceMs], in milliseconds on the clock. Takes up to
     * [LIMIT_MS] for each of two reads; a caller that cancels it may cancel the read of others.
     */
    suspend fun find(id: StreamId, sinceMs: Long): Found {
        lookUp(id)?.let { return Found.At(it) }
        val completeAtMs = content?.completeAtMs
        if (completeAtMs != null && completeAtMs > sinceMs) return Found.Missing
        val isRead = reads.await() != null
        val origin = lookUp(id)
        return when {
            origin != null -> Found.At(origin)
            isRead -> Found.Missing
            else -> Found.Unavailable
        }
    }

    /** Drops what was read so long ago that no stream of it can be taken up. */
    fun expire() {
        val readAtMs = content?.readAtMs ?: return
        if (clock.nowMs() - readAtMs >= ServedVersions.MAX_WINDOW_MS) content = null
    }

    private fun lookUp(id: StreamId): StreamOrigin? =
        content?.groupsByHost?.values?.firstNotNullOfOrNull { groups ->
            groups.find { it.sortedIds.binarySearch(id.value) >= 0 }?.origin
        }

    private suspend fun read(): Unit? {
        val startedAtMs = clock.nowMs()
        val position = content?.position ?: return readAll(startedAtMs)
        val kind = ObjectKinds.STREAM_ORIGINS
        return when (val result = store.watch(kind, position.revision, WAIT_MS, position.era)) {
            is StoreResult.Done -> onChanges(result.value, position.era, startedAtMs)
            is StoreResult.Unavailable -> onFailed(result)
            is StoreResult.Failed -> readAll(startedAtMs)
        }
    }

    private suspend fun readAll(startedAtMs: Long): Unit? =
        when (val result = store.list(ObjectKinds.STREAM_ORIGINS)) {
            is StoreResult.Done -> onListing(result.value, startedAtMs)
            is StoreResult.Failed -> onFailed(result)
        }

    private fun onChanges(changes: Changes, era: StoreEra?, startedAtMs: Long) {
        val position = Position(changes.revision, era)
        content = Content(withObjects(changes.changed), position, startedAtMs, startedAtMs)
        metrics.onStreamStoreRead("CHANGES")
    }

    private fun onListing(listing: Listing, startedAtMs: Long): Unit? {
        val position = Position(listing.revision, listing.era).takeIf { listing.isComplete }
        val completeAtMs = if (listing.isComplete) startedAtMs else content?.completeAtMs
        val groupsByHost = withObjects(listing.objects)
        content = Content(groupsByHost, position, completeAtMs, startedAtMs)
        metrics.onStreamStoreRead("LISTING")
        log.stateChange(
            "stream origins searched",
            "objects" to listing.objects.size,
            "streams" to groupsByHost.values.sumOf { groups -> groups.sumOf { it.sortedIds.size } },
            "complete" to listing.isComplete
        )
        return if (listing.isComplete) Unit else null
    }

    private fun onFailed(result: StoreResult.Failed): Unit? {
        metrics.onStreamStoreRead("FAILED")
        metrics.onStoreFailure()
        log.rareFailure("stream origins not searched", "store", null, "detail" to result.toString())
        return null
    }

    private fun withObjects(objects: List<StoredObject>): Map<String, List<Group>> {
        val groupsByHost = HashMap(content?.groupsByHost.orEmpty())
        objects.forEach { stored ->
            val groups = ObjectKinds.decodeStreamOrigins(stored)?.groups?.map {
                val origin = StreamOrigin(it.service, SoftwareVersion(it.version))
                Group(origin, it.ids.toLongArray().apply { sort() })
            }
            if (groups != null) groupsByHost[stored.name] = groups
        }
        return groupsByHost
    }

    internal companion object {
        /** Bounds the calls of a flood of take-ups. */
        const val MIN_INTERVAL_MS = 250L

        /** The objects of all hosts are up to 2 MB, and the link of a small host has 7 Mbit/s. */
        const val LIMIT_MS = 3_000L

        /** The shortest wait of a watch. */
        private const val WAIT_MS = 1L
    }
}
