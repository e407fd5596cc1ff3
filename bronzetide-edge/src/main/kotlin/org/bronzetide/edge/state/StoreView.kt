package org.bronzetide.edge.state

import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.platform.fleet.Changes
import org.bronzetide.platform.fleet.FleetStore
import org.bronzetide.platform.fleet.Listing
import org.bronzetide.platform.fleet.ObjectKinds
import org.bronzetide.platform.fleet.StoreEra
import org.bronzetide.platform.fleet.StoreResult
import org.bronzetide.platform.fleet.TargetEntry

/**
 * Passes the targets that a [StoreWatcher] reads on to [observer], and tells how current they are.
 *
 * A watch that waits does not tell whether the store is still reached. [readChanges] asks for what
 * has changed since the state that was passed on last, so it costs little however many targets
 * there are. Calls that wait for the store share the next one.
 */
internal class StoreView(
    private val store: FleetStore,
    clock: MonotonicClock,
    private val time: ElapsedTime,
    private val observer: StoreWatcher.Observer
) : StoreWatcher.Observer by observer {
    private class Position(val revision: Long, val era: StoreEra?)

    @Volatile
    private var position: Position? = null

    /** When the state was last read; `null` before. */
    @Volatile
    var readAt: ElapsedTime.Moment? = null
        private set

    private val reads = SharedCall(clock, MIN_INTERVAL_MS, LIMIT_MS, ::read)

    override suspend fun onListing(listing: Listing) {
        observer.onListing(listing)
        onRead(listing.revision, listing.era)
    }

    override suspend fun onChanges(changes: Changes) {
        observer.onChanges(changes)
        onRead(changes.revision, position?.era)
    }

    private fun onRead(revision: Long, era: StoreEra?) {
        position = Position(revision, era)
        readAt = time.now()
    }

    /**
     * Returns the entries that were written since the state that [observer] has, as read from the
     * store after this call began; `null` if the store cannot be read at present.
     */
    suspend fun readChanges(): List<TargetEntry>? = reads.await()

    private suspend fun read(): List<TargetEntry>? {
        val since = position ?: return null
        val result = store.watch(ObjectKinds.TARGETS, since.revision, WAIT_MS, since.era)
        if (result !is StoreResult.Done) return null
        return result.value.changed.mapNotNull(ObjectKinds::decodeTarget)
    }

    private companion object {
        /** The shortest wait of a watch. */
        const val WAIT_MS = 1L

        /** Several times what a call takes unless the store is slow. */
        const val LIMIT_MS = 300L

        /** Bounds the calls of a flood of take-ups. */
        const val MIN_INTERVAL_MS = 100L
    }
}
