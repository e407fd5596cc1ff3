package org.bronzetide.edge.state

import java.util.concurrent.ConcurrentLinkedQueue
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.platform.fleet.Changes
import org.bronzetide.platform.fleet.FleetStore
import org.bronzetide.platform.fleet.Listing
import org.bronzetide.platform.fleet.ObjectKinds

/** Watches of a store that is restored from a snapshot at different moments of them. */
class StoreRestorationTest {
    /** Guards against a watch that waits on while the state it started from is gone. */
    @Example
    fun waitingWatchRestartsWhenAnotherCallSeesTheNextEra() = StoreClientEnvironment.test {
        standIn.write(ObjectKinds.TARGETS, "t1", "{}")
        standIn.takeSnapshot()
        val store = client()
        watching(store, watchMs = 60_000) { seen ->
            seen.await("listing t1")
            // The store still has the watched revision, so that the watch itself waits on.
            standIn.restore()
            store.list(ObjectKinds.MANIFESTS)
            seen.await("restored", "listing t1")
        }
    }

    /** Guards against a watch that succeeds, on a revision that was issued again. */
    @Example
    fun watchThatSucceedsInTheNextEraIsFollowedByAListing() = StoreClientEnvironment.test {
        prepareSnapshot()
        watching(client(), watchMs = 60_000) { seen ->
            seen.await("listing t1,t2")
            standIn.restore()
            repeat(5) { standIn.write(ObjectKinds.TARGETS, "t3", "{}") }
            seen.await("restored", "listing t1,t3")
            assertThat(seen.events).noneMatch { it.startsWith("changes t3") }
        }
    }

    /** Guards against an era that is noticed only by the caller of a watch without changes. */
    @Example
    fun watchWithoutChangesThatEndsInTheNextEraIsFollowedByAListing() =
        StoreClientEnvironment.test {
            standIn.write(ObjectKinds.TARGETS, "t1", "{}")
            standIn.takeSnapshot()
            watching(client(), watchMs = 50) { seen ->
                seen.await("listing t1")
                standIn.restore()
                seen.await("restored", "listing t1")
            }
        }

    /** Guards against a listing whose pages are from before and after a restoration. */
    @Example
    fun listingBeginsAgainIfTheEraChangesBetweenItsPages() = StoreClientEnvironment.test {
        standIn.write(ObjectKinds.TARGETS, "t2", "{}")
        standIn.takeSnapshot()
        standIn.write(ObjectKinds.TARGETS, "t1", "{}")
        standIn.pageSize = 1
        standIn.onPage = {
            standIn.onPage = {}
            standIn.restore()
        }
        watching(client(), watchMs = 50) { seen -> seen.await("listing t2") }
    }

    /** Guards against a state of the earlier era that arrives late and replaces the later one. */
    @Example
    fun lateListingOfTheEarlierEraIsDropped() = StoreClientEnvironment.test {
        prepareSnapshot()
        val store = client()
        standIn.intercept = { _, execute ->
            val reply = execute()
            standIn.restore()
            standIn.intercept = { _, next -> next() }
            store.list(ObjectKinds.MANIFESTS)
            reply
        }
        watching(store, watchMs = 50) { seen ->
            seen.await("listing t1")
            assertThat(seen.events).doesNotContain("listing t1,t2")
        }
    }

    /** Guards against a change in the calls to a store that states no era. */
    @Example
    fun withoutErasAWatchContinuesFromItsRevision() = StoreClientEnvironment.test {
        standIn.era = null
        standIn.write(ObjectKinds.TARGETS, "t1", "{}")
        watching(client(), watchMs = 50) { seen ->
            seen.await("listing t1")
            standIn.write(ObjectKinds.TARGETS, "t2", "{}")
            seen.await("changes t2")
            delay(200)
            assertThat(seen.events.filter { it != "changes " })
                .containsExactly("listing t1", "changes t2")
        }
    }

    private fun StoreClientEnvironment.prepareSnapshot() {
        standIn.write(ObjectKinds.TARGETS, "t1", "{}")
        standIn.takeSnapshot()
        standIn.write(ObjectKinds.TARGETS, "t2", "{}")
    }

    private suspend fun StoreClientEnvironment.watching(
        store: FleetStore,
        watchMs: Long,
        test: suspend CoroutineScope.(Recorder) -> Unit
    ) = coroutineScope {
        val recorder = Recorder()
        val watcher = StoreWatcher(
            ObjectKinds.TARGETS,
            store,
            MonotonicClock.System,
            log,
            metrics,
            watchMs,
            recorder
        )
        val watch: Job = launch { watcher.run() }
        test(recorder)
        watch.cancel()
    }

    private class Recorder : StoreWatcher.Observer {
        val events = ConcurrentLinkedQueue<String>()

        override suspend fun onListing(listing: Listing) {
            events += "listing " + listing.objects.joinToString(",") { it.name }
        }

        override suspend fun onChanges(changes: Changes) {
            events += "changes " + changes.changed.joinToString(",") { it.name }
        }

        override suspend fun onStoreRestored() {
            events += "restored"
        }

        /** Waits until [expected] have been seen one directly after the other. */
        suspend fun await(vararg expected: String) = withTimeout(3_000) {
            while (!events.toList().windowed(expected.size).any { it == expected.asList() }) {
                delay(5)
            }
        }
    }
}
