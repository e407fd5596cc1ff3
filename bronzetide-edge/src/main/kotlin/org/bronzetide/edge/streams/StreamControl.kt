package org.bronzetide.edge.streams

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.peer.LiveHosts
import org.bronzetide.edge.peer.PeerMessage
import org.bronzetide.edge.state.software
import org.bronzetide.edge.streams.StoredOrigins.Found
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.platform.fleet.FleetStore
import org.bronzetide.platform.fleet.HostSettings
import org.bronzetide.platform.fleet.Manifest
import org.bronzetide.platform.fleet.RouteKind
import org.bronzetide.platform.fleet.SocketAddress
import org.bronzetide.platform.fleet.TargetEntry
import org.bronzetide.scheduling.fleet.FleetTarget
import org.bronzetide.scheduling.fleet.SoftwareVersion
import org.bronzetide.scheduling.streams.ServedVersions
import org.bronzetide.scheduling.streams.StreamId
import org.bronzetide.scheduling.streams.StreamOrigin

/**
 * The parts of a process that know at which version streams have begun: what this host has seen,
 * what other hosts keep, and what is in the store for hosts that start after a loss of all.
 */
internal class StreamControl(
    settings: HostSettings,
    private val control: ControlLoop,
    private val clock: MonotonicClock,
    store: FleetStore,
    log: DecisionLog,
    metrics: EdgeMetrics,
    sendToPeer: (SocketAddress, PeerMessage) -> Unit,
    liveHosts: () -> LiveHosts,
    hostCount: () -> Int,
    /** See [org.bronzetide.edge.state.StoreView.readChanges]. */
    private val readTargetChanges: suspend () -> List<TargetEntry>? = { null }
) : StreamOrigins {
    private val versions = ServedVersions()

    private val routeServices = RouteServices()
    private val window = StreamWindow(control.timers, versions)

    /** What the messages between hosts carry of streams. */
    val exchange: StreamExchange = StreamExchange(
        settings.nodeName,
        clock,
        control.timers,
        versions,
        log,
        { ip, message -> sendToPeer(SocketAddress(ip, settings.peerPorts.first), message) },
        { routeServices.ambiguous(clock.nowMs()) }
    )
    private val history = VersionHistory(
        control,
        clock,
        store,
        Observed(),
        settings.isFirstStart,
        { liveHosts().rankFor("service versions $it") },
        log,
        metrics
    )
    private val snapshots = StreamSnapshots(
        control,
        clock,
        store,
        settings.nodeName,
        history,
        Services(),
        SnapshotBudget(settings, hostCount),
        { read -> read.forEach { (id, origin) -> exchange.addFromStore(StreamId(id), origin) } },
        log,
        metrics
    )
    private val storedOrigins = StoredOrigins(store, clock, log, metrics)
    private val hasOtherSeeds = settings.seeds.any { it.host != settings.ip }
    private val resolver = StreamResolver(
        clock,
        versions,
        exchange,
        log,
        { routeServices.isAmbiguous(it, clock.nowMs()) },
        { isStarting && !(snapshots.isRead && (exchange.hasPeers || !hasOtherSeeds)) },
        hasOtherSeeds,
        ::confirmVersions,
        ::findInStore
    )
    private val fleet = FleetStreamOrigins(control, exchange, resolver)

    private var scope: CoroutineScope? = null

    /** When [start] was called, in milliseconds on the clock. */
    @Volatile
    private var startedAtMs = clock.nowMs()
    private val isStarting get() = clock.nowMs() - startedAtMs < START_MS

    /** Starts to read and write the store. */
    fun start(scope: CoroutineScope) {
        startedAtMs = clock.nowMs()
        control.post {
            this.scope = scope
            control.timers.every(EXPIRY_INTERVAL_MS, storedOrigins::expire)
        }
        scope.launch { history.run() }
        scope.launch { snapshots.run() }
    }

    /** Takes over the known targets; must be called on the control thread. */
    fun onTargets(targets: List<FleetTarget>, nowMs: Long) {
        versions.updateTargets(targets, nowMs)
        exchange.updateSharedServices()
        history.wake()
    }

    /** Takes over the current manifest; must be called on the control thread. */
    fun onManifest(manifest: Manifest) {
        val longestMs = manifest.routes
            .filter { it.kind is RouteKind.Streaming && it.kind.isSafeToRetry }
            .maxOfOrNull { it.timeoutMs }
        longestMs?.let(window::onTimeLimit)
        routeServices.update(manifest, versions.windowMs, clock.nowMs())
        exchange.updateSharedServices()
        history.wake()
    }

    override fun onFirstEvent(firstRequestId: String, origin: StreamOrigin) {
        val id = StreamId.of(firstRequestId)
        control.post {
            exchange.record(id, origin)
            snapshots.onFirstEvent(id.value, origin)
        }
    }

    override suspend fun find(
        firstRequestId: String?,
        services: List<String>
    ): StreamOrigins.Continuation {
        val found = fleet.find(firstRequestId, services)
        val mayBeInStore =
            found is StreamOrigins.Continuation.Unknown && found.retryAfterMs != null
        if (!mayBeInStore || !isStarting || snapshots.isRead) return found
        snapshots.awaitRead(START_READ_LIMIT_MS)
        return fleet.find(firstRequestId, services)
    }

    /** Adds the versions that the store has at present, see [StreamResolver]. */
    private fun confirmVersions(onResult: (Boolean) -> Unit) {
        val scope = scope ?: return onResult(false)
        scope.launch {
            val changed = readTargetChanges()
            control.post {
                val nowMs = clock.nowMs()
                changed?.forEach { versions.add(it.service, setOf(it.software), nowMs) }
                exchange.updateSharedServices()
                onResult(changed != null)
            }
        }
    }

    private fun findInStore(id: StreamId, sinceMs: Long, onResult: (Found) -> Unit) {
        val scope = scope
        // The first read is awaited in [find].
        if (scope == null || (isStarting && !snapshots.isRead)) return onResult(Found.Unavailable)
        scope.launch {
            val search = async { storedOrigins.find(id, sinceMs) }
            // A search that takes longer goes on for those that return.
            val found =
                withTimeoutOrNull(SEARCH_WAIT_MS) { search.await() } ?: Found.Unavailable
            control.post {
                if (found is Found.At) exchange.addFromStore(id, found.origin)
                onResult(found)
            }
        }
    }

    private inner class Observed : VersionHistory.ObservedVersions {
        override val services get() = routeServices.names
        override val windowMs get() = versions.windowMs

        override fun of(service: String, nowMs: Long) = versions.of(service, nowMs)

        override fun add(service: String, versions: Set<SoftwareVersion>, nowMs: Long) {
            this@StreamControl.versions.add(service, versions, nowMs)
            exchange.updateSharedServices()
        }

        override fun isAmbiguous(service: String, nowMs: Long) =
            routeServices.isAmbiguous(service, nowMs)

        override fun isSettled(service: String, nowMs: Long) = versions.isSettled(service, nowMs)

        override fun onSettled(service: String) = versions.settle(service)

        override fun onFirstStart() = versions.settle()
    }

    private inner class Services : StreamSnapshots.Services {
        override val names get() = routeServices.names
        override val windowMs get() = versions.windowMs

        override fun isShared(service: String, nowMs: Long) =
            versions.isMixed(service, nowMs) || routeServices.isAmbiguous(service, nowMs)
    }

    private companion object {
        /** Longer than a host that starts takes to find its peers and to read the store. */
        const val START_MS = 2_000L

        /** Two calls to the store, which takes a few milliseconds for each unless it is slow. */
        const val START_READ_LIMIT_MS = 500L

        /** Several times what a search takes unless the store is slow. */
        const val SEARCH_WAIT_MS = 500L
        const val EXPIRY_INTERVAL_MS = 10_000L
    }
}
