package org.bronzetide.edge.state

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.edge.standin.StoreStandIn
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.http.ConnectionPool
import org.bronzetide.http.TrafficLoop
import org.bronzetide.platform.fleet.Changes
import org.bronzetide.platform.fleet.FleetStore
import org.bronzetide.platform.fleet.Listing
import org.bronzetide.platform.fleet.ObjectKinds
import org.bronzetide.platform.fleet.SocketAddress
import org.bronzetide.platform.fleet.StoreResult

/** How often the hosts of a large fleet call the store, and how late a silent call is noticed. */
class StoreWatcherTest {
    /**
     * Guards against a host that counts as stable again, so that the bounds hold for it, while its
     * watch still hangs on a connection that has gone silent.
     */
    @Example
    fun silentWatchIsNoticedBeforeAHostOfEachDeploymentCountsAsStable() {
        listOf(3_000L to 2_000L, 4_000L to 3_000L, 5_000L to 4_000L)
            .forEach { (stableMs, applyMs) ->
                val timeoutMs = watchMs(stableMs, applyMs) + FleetStore.DEFAULT_TIMEOUT_MS
                val noticedMs = minOf(timeoutMs, ConnectionPool.SILENCE_TIMEOUT_MS)
                assertThat(noticedMs + CONNECT_AGAIN_MS).isLessThan(stableMs)
            }
    }

    /** Guards against a target that leaves while the listing is read and is used for good. */
    @Example
    fun changeOfAnEarlierPageWhileAListingIsReadIsSeenByTheNextWatch() = StoreStandIn().use {
        it.pageSize = 1
        it.write(ObjectKinds.TARGETS, "t1", "{}")
        it.write(ObjectKinds.TARGETS, "t2", "{}")
        it.onPage = { it.remove(ObjectKinds.TARGETS, "t1") }
        val removed = TrafficLoop().use { loop ->
            val pool = ConnectionPool(loop, MonotonicClock.System)
            val store = FleetStore(pool, SocketAddress("127.0.0.1", it.port))
            runBlocking {
                val listing = store.list(ObjectKinds.TARGETS) as StoreResult.Done
                assertThat(listing.value.objects.map { entry -> entry.name })
                    .containsExactly("t1", "t2")
                val watch = store.watch(ObjectKinds.TARGETS, listing.value.revision, 50)
                (watch as StoreResult.Done).value.removedNames
            }
        }
        assertThat(removed).containsExactly("t1")
        Unit
    }

    /** Guards against an Error, such as a stack overflow, that ends the watch for good. */
    @Example
    fun watchGoesOnAfterAnErrorInIt() = StoreStandIn().use { standIn ->
        standIn.write(ObjectKinds.TARGETS, "t1", "{}")
        val listed = CompletableDeferred<Listing>()
        val observer = object : StoreWatcher.Observer {
            private var isFirst = true

            override suspend fun onListing(listing: Listing) {
                if (isFirst) {
                    isFirst = false
                    throw StackOverflowError()
                }
                listed.complete(listing)
            }

            override suspend fun onChanges(changes: Changes) = Unit
        }
        TrafficLoop().use { loop ->
            val clock = MonotonicClock.System
            val store = FleetStore(
                ConnectionPool(loop, clock),
                SocketAddress("127.0.0.1", standIn.port)
            )
            val watcher = StoreWatcher(
                ObjectKinds.TARGETS,
                store,
                clock,
                DecisionLog(clock),
                EdgeMetrics(),
                100,
                observer
            )
            runBlocking {
                val watch = launch { watcher.run() }
                val listing = withTimeout(3_000) { listed.await() }
                assertThat(listing.objects.map { it.name }).containsExactly("t1")
                watch.cancel()
            }
        }
    }

    @Example
    fun hostsOfLargeDeploymentsCallTheStoreLessOften() {
        assertThat(watchMs(5_000, 4_000)).isGreaterThan(2 * watchMs(3_000, 2_000))
    }

    private fun watchMs(stableMs: Long, applyMs: Long): Long {
        val bounds = EdgeTestEnvironment.settings(1, "host").bounds.copy(
            stabilizationMs = stableMs,
            manifestApplyMs = applyMs,
            targetDrainMs = applyMs
        )
        return StoreWatcher.watchMsWithin(bounds)
    }

    private companion object {
        /** The longest first back-off, a new connection and a call. */
        const val CONNECT_AGAIN_MS = 600L
    }
}
