package org.bronzetide.edge

import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.Blackboard
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.entry.AdmissionController
import org.bronzetide.edge.entry.CallerSession
import org.bronzetide.edge.entry.ConnectionAcceptor
import org.bronzetide.edge.entry.ControlServer
import org.bronzetide.edge.entry.InFlightRequests
import org.bronzetide.edge.entry.QuotaLimiterAdapter
import org.bronzetide.edge.forwarding.RequestForwarder
import org.bronzetide.edge.forwarding.SchedulerAdapter
import org.bronzetide.edge.forwarding.TargetClient
import org.bronzetide.edge.peer.PeerCoordinator
import org.bronzetide.edge.peer.PeerSocket
import org.bronzetide.edge.peer.PeerStateClient
import org.bronzetide.edge.state.BlackboardKeys
import org.bronzetide.edge.state.ManifestCache
import org.bronzetide.edge.state.StoreWatcher
import org.bronzetide.edge.state.TargetRegistry
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.edge.telemetry.StatusPage
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.ConnectionPool
import org.bronzetide.http.TrafficLoop
import org.bronzetide.platform.fleet.CallerLimits
import org.bronzetide.platform.fleet.FleetStore
import org.bronzetide.platform.fleet.HostSettings
import org.bronzetide.platform.fleet.Manifest
import org.bronzetide.platform.fleet.ObjectKinds
import org.bronzetide.platform.fleet.SocketAddress
import org.bronzetide.platform.fleet.StoredObject
import org.bronzetide.platform.fleet.StoredObjectCodec
import org.bronzetide.platform.fleet.TargetEntry
import org.bronzetide.scheduling.fleet.FleetScheduler
import org.bronzetide.scheduling.fleet.FleetTarget
import org.bronzetide.scheduling.fleet.QuotaLimiter
import org.bronzetide.scheduling.fleet.WindowedRetryBudget

/** One process on an entry host of the platform: callers in front, targets behind. */
public class EdgeNode(private val settings: HostSettings) : AutoCloseable {
    private val clock = MonotonicClock.System
    private val log = DecisionLog(clock)
    private val metrics = EdgeMetrics()
    private val failures = CoroutineExceptionHandler { _, cause ->
        log.failure("coroutine failed", cause, "at" to cause.stackTrace.firstOrNull()?.toString())
    }
    private val traffic = TrafficLoop()
    private val scope = CoroutineScope(SupervisorJob() + traffic + failures)
    private val control = ControlLoop(clock)
    private val board = Blackboard()
    private val pool = ConnectionPool(traffic, clock)
    private val store = FleetStore(pool, settings.storeAddress)
    private val scheduler = FleetScheduler(settings.availabilityZone, Random.Default)
    private val manifests = ManifestCache(board, control, log)
    private val targets = TargetRegistry(board, control, clock, log)
    private val inFlightRequests = InFlightRequests()
    private val quotas = QuotaLimiter()
    private val beliefs = PeerStateClient(pool, settings.controlAddress.port)
    private val peers = PeerSocket(
        SocketAddress(settings.ip, settings.peerPorts.first),
        log
    ) { message, sender -> control.post { fleet.onMessage(message, sender) } }
    private val fleet: PeerCoordinator = PeerCoordinator(
        settings,
        clock,
        control.timers,
        scheduler,
        quotas,
        log,
        PeerCoordinator.Environment(peers::send, { manifest()?.version ?: 0 }, ::fetchManifest)
    )
    private val budget = WindowedRetryBudget(
        settings.bounds.retryRatio,
        settings.bounds.retrySlack,
        settings.bounds.retryWindowMs
    ) { fleet.hostCount }
    private val isFetching = AtomicBoolean()

    @Volatile
    private var isRehearsed = false

    @Volatile
    private var status = statusPage()
    private val exchange = RequestForwarder(
        SchedulerAdapter(control, clock, scheduler),
        TargetClient(pool, clock),
        clock,
        budget,
        { board[BlackboardKeys.targets][it] },
        log,
        metrics
    )
    private val services = CallerSession.Dependencies(
        clock,
        AdmissionController(
            ::manifest,
            QuotaLimiterAdapter(control, clock, quotas, settings.bounds) {
                scheduler.waitingCount >
                    0
            }
        ),
        exchange,
        { manifest()?.limits ?: CallerLimits() },
        inFlightRequests,
        log,
        metrics
    )
    private val callers = ConnectionAcceptor(traffic, settings.callerAddress, log) {
        CallerSession(CallerConnection(it), services).run()
    }
    private val readiness = ConnectionAcceptor(traffic, settings.readinessAddress, log) {
        ControlServer(
            mapOf(HostSettings.READINESS_PATH to ::readinessAnswer)
        ).serve(CallerConnection(it))
    }
    private val operators = ConnectionAcceptor(traffic, settings.controlAddress, log) {
        ControlServer(operatorAnswers).serve(CallerConnection(it))
    }

    private val operatorAnswers: Map<String, () -> ControlServer.Response> = mapOf(
        "/status" to { ControlServer.Response(OK, status.toJson(), "application/json") },
        "/metrics" to { ControlServer.Response(OK, metrics.scrape()) },
        PeerStateClient.MANIFEST_PATH to { objectsAnswer(manifests.objects) },
        PeerStateClient.TARGETS_PATH to { objectsAnswer(targets.objects) }
    )

    /** Whether the process can serve: it knows a manifest and the targets, and does not stop. */
    public val isReady: Boolean
        get() = isRehearsed &&
            !inFlightRequests.isDraining &&
            manifest() != null &&
            board[BlackboardKeys.areTargetsKnown]

    /** Starts serving. */
    public suspend fun start() {
        control.start()
        board.subscribe(BlackboardKeys.targets) { updateTargets() }
        board.subscribe(BlackboardKeys.manifest) { updateTargets() }
        control.post {
            fleet.start()
            control.timers.every(EVICT_MS) {
                pool.evictStale()
                status = statusPage()
            }
        }
        metrics.gauge("bronzetide.edge.requests.inside") { inFlightRequests.count }
        metrics.gauge("bronzetide.edge.manifest.version") { manifest()?.version ?: 0 }
        metrics.gauge("bronzetide.edge.connections.opened") { pool.openedCount }
        scope.launch { follow(ObjectKinds.MANIFESTS, manifests) }
        scope.launch { follow(ObjectKinds.TARGETS, targets) }
        scope.launch { learnFromPeers() }
        scope.launch {
            rehearse()
            isRehearsed = true
        }
        peers.start()
        readiness.start(scope)
        operators.start(scope)
        callers.start(scope)
        log.stateChange(
            "started",
            "node" to settings.nodeName,
            "callers" to settings.callerAddress.toString()
        )
    }

    /**
     * Stops as planned: is no longer ready, goes on serving until the balancer has noticed, ends
     * idle connections, and waits for the requests under way.
     */
    public suspend fun drain() {
        inFlightRequests.isDraining = true
        log.stateChange("stopping", "requests" to inFlightRequests.count)
        control.post { fleet.leave() }
        delay(BALANCER_MS)
        inFlightRequests.closeIdleConnections()
        val limitMs = settings.bounds.stopGraceMs - BALANCER_MS - EXIT_MARGIN_MS
        withTimeoutOrNull(limitMs) {
            while (inFlightRequests.count > 0) delay(DRAIN_CHECK_MS)
        }
        log.stateChange("stopped", "requestsCutOff" to inFlightRequests.count)
    }

    /** Takes [changed] settings. Addresses and bounds of a running process do not change. */
    public fun reload(changed: HostSettings) {
        control.post { fleet.updateSeeds(changed.seeds) }
        log.stateChange("settings reloaded", "seeds" to changed.seeds.map { it.toString() })
    }

    override fun close() {
        callers.close()
        readiness.close()
        peers.close()
        operators.close()
        scope.cancel()
        pool.close()
        control.close()
        traffic.close()
    }

    private suspend fun rehearse() = if (settings.isFirstStart) {
        WarmUp(traffic).run(FIRST_REHEARSED_REQUESTS, FIRST_REHEARSAL_LIMIT_MS)
    } else {
        WarmUp(traffic).run(REHEARSED_REQUESTS, REHEARSAL_LIMIT_MS)
    }

    private fun manifest(): Manifest? = board[BlackboardKeys.manifest].firstOrNull()

    private fun readinessAnswer() = ControlServer.Response(if (isReady) OK else UNAVAILABLE)

    private suspend fun follow(kind: String, observer: StoreWatcher.Observer) =
        StoreWatcher(kind, store, clock, log, metrics, observer).run()

    private fun statusPage() = StatusPage(
        settings.nodeName,
        isReady,
        manifest()?.version ?: 0,
        inFlightRequests.count,
        scheduler.waitingCount,
        fleet.aggregatorName,
        fleet.arePeerLoadsCurrent,
        fleet.memberNames(),
        scheduler.views(clock.nowMs())
    )

    private fun objectsAnswer(objects: List<StoredObject>) =
        ControlServer.Response(OK, StoredObjectCodec.encodeList(objects), "application/json")

    private fun fetchManifest(ip: String) {
        if (!isFetching.compareAndSet(false, true)) return
        scope.launch {
            try {
                beliefs.fetch(ip, PeerStateClient.MANIFEST_PATH)?.let {
                    manifests.applyIfNewer(it, "peer $ip")
                }
            } finally {
                isFetching.set(false)
            }
        }
    }

    /** Asks peers for what the store does not tell, until both manifest and targets are known. */
    private suspend fun learnFromPeers() {
        delay(STORE_FIRST_MS)
        while (manifest() == null || !board[BlackboardKeys.areTargetsKnown]) {
            val ips = control.call { fleet.peerIps() } + settings.seeds.map { it.host }
            for (ip in ips.filter { it != settings.ip }.distinct().take(MAX_ASKED)) {
                beliefs.fetch(ip, PeerStateClient.MANIFEST_PATH)?.let {
                    manifests.applyIfNewer(it, "peer $ip")
                }
                val found = beliefs.fetch(ip, PeerStateClient.TARGETS_PATH)
                if (!found.isNullOrEmpty()) targets.seedFromPeer(found)
            }
            delay(STORE_FIRST_MS)
        }
    }

    private fun updateTargets() {
        scheduler.updateTargets(board[BlackboardKeys.targets].values.map(::spec))
        scheduler.decide(clock.nowMs())
    }

    private fun spec(entry: TargetEntry) = FleetTarget(
        entry.id,
        entry.service,
        entry.availabilityZone,
        entry.slots,
        entry.isLeaving,
        isEngine = manifest()?.services?.get(entry.service)?.engine != null
    )

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503

        /** The store is given this long before peers are asked in its place. */
        const val STORE_FIRST_MS = 400L
        const val MAX_ASKED = 3

        /** After so many, a request takes a fifth of the first ones' time. */
        const val REHEARSED_REQUESTS = 50
        const val REHEARSAL_LIMIT_MS = 1_500L

        /** After so many, a request takes hardly more than it ever will. */
        const val FIRST_REHEARSED_REQUESTS = 150

        /** Callers come some 15 s after a first start. */
        const val FIRST_REHEARSAL_LIMIT_MS = 6_000L
        const val EVICT_MS = 1_000L

        /** The balancer asks once a second and takes a host out after two misses. */
        const val BALANCER_MS = 3_000L
        const val EXIT_MARGIN_MS = 300L
        const val DRAIN_CHECK_MS = 20L
    }
}
