package org.bronzetide.edge

import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.Blackboard
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.entry.AddressBinder
import org.bronzetide.edge.entry.AdmissionController
import org.bronzetide.edge.entry.CallerSession
import org.bronzetide.edge.entry.ConnectionAcceptor
import org.bronzetide.edge.entry.ControlServer
import org.bronzetide.edge.entry.InFlightRequests
import org.bronzetide.edge.entry.QuotaLimiterAdapter
import org.bronzetide.edge.entry.RequestExplainer
import org.bronzetide.edge.forwarding.ProcessEnd
import org.bronzetide.edge.forwarding.RequestForwarder
import org.bronzetide.edge.forwarding.SchedulerAdapter
import org.bronzetide.edge.forwarding.TargetClient
import org.bronzetide.edge.memory.BodyBudget
import org.bronzetide.edge.memory.ResponseMemory
import org.bronzetide.edge.peer.PeerCoordinator
import org.bronzetide.edge.peer.PeerMessageCodec
import org.bronzetide.edge.peer.PeerSocket
import org.bronzetide.edge.peer.PeerStateClient
import org.bronzetide.edge.relay.RelayClient
import org.bronzetide.edge.relay.RelayForwarder
import org.bronzetide.edge.relay.RelayPeers
import org.bronzetide.edge.relay.RelayServer
import org.bronzetide.edge.relay.TargetPaths
import org.bronzetide.edge.relay.TargetStatements
import org.bronzetide.edge.rollout.RolloutControl
import org.bronzetide.edge.state.BlackboardKeys
import org.bronzetide.edge.state.Departures
import org.bronzetide.edge.state.ElapsedTime
import org.bronzetide.edge.state.ManifestCache
import org.bronzetide.edge.state.StoreView
import org.bronzetide.edge.state.StoreWatcher
import org.bronzetide.edge.state.TargetRegistry
import org.bronzetide.edge.state.TargetStarts
import org.bronzetide.edge.state.ref
import org.bronzetide.edge.streams.StreamControl
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
import org.bronzetide.platform.fleet.StoreEra
import org.bronzetide.platform.fleet.StoredObject
import org.bronzetide.platform.fleet.StoredObjectCodec
import org.bronzetide.platform.fleet.TargetEntry
import org.bronzetide.scheduling.fleet.AccountShares
import org.bronzetide.scheduling.fleet.FleetScheduler
import org.bronzetide.scheduling.fleet.FleetTarget
import org.bronzetide.scheduling.fleet.HedgingPolicy
import org.bronzetide.scheduling.fleet.HedgingShare
import org.bronzetide.scheduling.fleet.QuotaLimiter
import org.bronzetide.scheduling.fleet.TargetRef
import org.bronzetide.scheduling.fleet.WindowedRetryBudget

/**
 * The process of one entry host: accepts requests from callers and forwards them to targets.
 */
public class EdgeNode(
    private val settings: HostSettings,
    hedgingShare: HedgingShare = HedgingShare.OFF
) : AutoCloseable {
    private val clock = MonotonicClock.System
    private val log = DecisionLog(clock)
    private val metrics = EdgeMetrics()
    private val exceptionHandler = CoroutineExceptionHandler { _, cause ->
        log.failure(
            "uncaught exception in a coroutine",
            cause,
            "at" to cause.stackTrace.firstOrNull()?.toString()
        )
    }
    private val traffic = TrafficLoop()
    private val scope = CoroutineScope(SupervisorJob() + traffic + exceptionHandler)
    private val control = ControlLoop(clock)
    private val board = Blackboard()
    private val pool = ConnectionPool(traffic, clock)
    private val storePool =
        ConnectionPool(traffic, clock, ConnectionPool.Policy(isProbed = true))
    private val relayPool =
        ConnectionPool(traffic, clock, ConnectionPool.Policy(isProbed = true))
    private val store = FleetStore(storePool, settings.storeAddress)
    private val accountShares = AccountShares()
    private val scheduler =
        FleetScheduler(settings.availabilityZone, Random.Default, accountShares)
    private val manifestCache = ManifestCache(board, control, log)
    private val targetRegistry =
        TargetRegistry(board, control, clock, log, settings.bounds.stabilizationMs)
    private val elapsedTime = ElapsedTime(clock)
    private val targetView = StoreView(store, clock, elapsedTime, targetRegistry)
    private val inFlightRequests = InFlightRequests()
    private val bodies = BodyBudget.ofHeap()
    private val responseMemory = ResponseMemory.ofHeap()
    private val quotaLimiter = QuotaLimiter(accountShares)
    private val peerClient = PeerStateClient(pool, settings.controlAddress.port)
    private val rollouts: RolloutControl? =
        if (HostSettings.ROLLOUT_CONTRACT in settings.contracts) {
            RolloutControl(settings, control, clock, store, log, metrics) { fleet.liveHosts }
        } else {
            null
        }
    private val streams: StreamControl = StreamControl(
        settings,
        control,
        clock,
        store,
        log,
        metrics,
        { to, message -> peers.send(to, message) },
        { fleet.liveHosts },
        { fleet.hostCount },
        targetView::readChanges
    )
    private val peers = PeerSocket(
        SocketAddress(settings.ip, settings.peerPorts.first),
        log,
        PeerMessageCodec(clock, log, metrics::onPeerEntriesLeftOut)
    ) { message, sender -> control.post { fleet.onMessage(message, sender) } }
    private val fleet: PeerCoordinator = PeerCoordinator(
        settings,
        clock,
        control.timers,
        scheduler,
        quotaLimiter,
        log,
        PeerCoordinator.Environment(
            peers::send,
            { manifest()?.version ?: 0 },
            ::fetchManifest,
            { departures.markAsHeardByPeer(it) },
            rollouts?.exchange,
            streams.exchange,
            { paths.isCutOff },
            { self, members -> relays.updateMembers(self, members) }
        )
    )
    private val retryBudget = WindowedRetryBudget(
        settings.bounds.retryRatio,
        settings.bounds.retrySlack,
        settings.bounds.retryWindowMs
    ) { fleet.hostCount }
    private val isFetchingManifest = AtomicBoolean()

    /** Where the settings come from, if the node is to notice changes; set before [start]. */
    internal var settingsFile: SettingsFile? = null
        set(value) {
            field = value
            settingsWatch = value?.let { SettingsWatch(it, log, ::reload) }
        }
    private var settingsWatch: SettingsWatch? = null

    private val firstManifest = CompletableDeferred<Unit>()
    private var warmUp: Job? = null

    @Volatile
    private var isWarmedUp = false

    /** Whether all addresses are bound. */
    @Volatile
    private var isListening = false

    @Volatile
    private var status = statusPage()
    private val departures: Departures = Departures(log) { target ->
        control.post {
            fleet.onDeparture(target)
            updateTargets()
        }
    }
    private val targetStarts: TargetStarts = TargetStarts(
        scope,
        pool,
        elapsedTime,
        { board[BlackboardKeys.targets][it.id]?.ref == it.ref },
        { targetView.readAt },
        log,
        TargetStarts.maxSilentViewAgeMs(settings.bounds)
    ) { control.post { updateTargets() } }
    private val processEnd = ProcessEnd()
    private val paths: TargetPaths = TargetPaths { relays.onChange(it) }
    private val relays: RelayClient = RelayClient(
        paths,
        RelayPeers(settings.availabilityZone),
        RelayClient.Connections(pool, relayPool, settings.peerPorts.first),
        clock,
        scope,
        log,
        metrics
    ) { board[BlackboardKeys.targets].values }
    private val forwarder = RequestForwarder(
        SchedulerAdapter(control, clock, scheduler, rollouts),
        TargetClient(pool, clock, departures, responseMemory, metrics, relays),
        clock,
        retryBudget,
        { id -> board[BlackboardKeys.targets][id]?.takeUnless { it in departures } },
        log,
        metrics,
        streams,
        processEnd,
        HedgingPolicy(hedgingShare),
        targetStarts
    )
    private val sessionDependencies = CallerSession.Dependencies(
        clock,
        AdmissionController(
            ::manifest,
            QuotaLimiterAdapter(control, clock, quotaLimiter, settings.bounds, log) {
                scheduler.waitingCount > 0
            },
            streams,
            metrics,
            awaitManifest = firstManifest::await
        ),
        forwarder,
        { manifest()?.limits ?: CallerLimits() },
        inFlightRequests,
        bodies,
        log,
        metrics
    )
    private val callerAcceptor = ConnectionAcceptor(traffic, settings.callerAddress, log) {
        // Callers that are already here must not share the processor with the warm-up.
        warmUp?.cancel()
        CallerSession(CallerConnection(it), sessionDependencies).run()
    }
    private val readinessAcceptor = ConnectionAcceptor(traffic, settings.readinessAddress, log) {
        ControlServer(
            mapOf(HostSettings.READINESS_PATH to ::readinessResponse)
        ).serve(CallerConnection(it))
    }
    private val relayServer = RelayServer(
        RelayForwarder(
            pool,
            clock,
            departures,
            TargetStatements(control, clock, scheduler),
            metrics,
            { id -> board[BlackboardKeys.targets][id] },
            RelayForwarder.Paths(relays::isCutOff, relays::onHeard, relays::onConnectFailed)
        ),
        RelayServer.Dependencies(
            clock,
            { it in fleet.peers },
            { manifest()?.limits ?: CallerLimits() },
            inFlightRequests,
            bodies,
            processEnd,
            log,
            metrics
        )
    )
    private val relayAcceptor = ConnectionAcceptor(
        traffic,
        SocketAddress(settings.ip, settings.peerPorts.first),
        log
    ) { relayServer.serve(CallerConnection(it)) }
    private val operatorAcceptor = ConnectionAcceptor(traffic, settings.controlAddress, log) {
        ControlServer(operatorEndpoints, mapOf("/explain" to explainer::respond))
            .serve(CallerConnection(it))
    }

    private val explainer =
        RequestExplainer(settings.nodeName, control, clock, scheduler, quotaLimiter, ::manifest)
    private val operatorEndpoints: Map<String, () -> ControlServer.Response> = mapOf(
        "/status" to { ControlServer.Response(OK, status.toJson(), "application/json") },
        "/metrics" to { ControlServer.Response(OK, metrics.scrape()) },
        PeerStateClient.MANIFEST_PATH to { objectsResponse(manifestCache.objects) },
        PeerStateClient.TARGETS_PATH to { objectsResponse(targetRegistry.objects) }
    )

    /**
     * Whether the process can serve: it listens, has warmed up, has a manifest and the list of
     * targets, and is not draining.
     */
    public val isReady: Boolean
        get() = isWarmedUp &&
            isListening &&
            !inFlightRequests.isDraining &&
            manifest() != null &&
            board[BlackboardKeys.areTargetsKnown]

    /**
     * Starts listening, reading the store and exchanging messages with peers. Waits for addresses
     * that are in use; meanwhile it reads the store and warms up.
     *
     * @throws java.io.IOException if an address cannot be bound.
     * @throws kotlinx.coroutines.CancellationException if the node is closed before it listens.
     */
    public suspend fun start() {
        control.start()
        board.subscribe(BlackboardKeys.targets) { updateTargets() }
        board.subscribe(BlackboardKeys.manifest) {
            manifest()?.let(streams::onManifest)
            updateTargets()
            updateQuotas()
            firstManifest.complete(Unit)
        }
        control.post {
            scheduler.limits.onChange = ::logLimitChange
            rollouts?.start(scheduler)
            control.timers.every(MAINTENANCE_INTERVAL_MS) {
                pool.evictStale()
                storePool.evictStale()
                relayPool.evictStale()
                status = statusPage()
            }
        }
        settingsWatch?.start()
        registerGauges()
        store.onEraChange = ::onStoreEraChange
        scope.launch { watchStore(ObjectKinds.MANIFESTS, manifestCache) }
        scope.launch { watchStore(ObjectKinds.TARGETS, targetView) }
        rollouts?.let { scope.launch { watchStore(ObjectKinds.ROLLOUTS, it.orders) } }
        warmUp = scope.launch {
            try {
                warmUp()
            } finally {
                isWarmedUp = true
            }
        }
        listen()
        log.stateChange(
            "started",
            "node" to settings.nodeName,
            "callers" to settings.callerAddress.toString()
        )
    }

    /** Callers come last: by then the host knows its peers and their use of quotas. */
    private suspend fun listen() {
        val binder = AddressBinder(clock, log)
        binder.bind("control", operatorAcceptor.address) { operatorAcceptor.start(scope) }
        binder.bind("readiness", readinessAcceptor.address) { readinessAcceptor.start(scope) }
        binder.bind("peers", peers.address, peers::start)
        control.call { fleet.start() }
        scope.launch { bootstrapFromPeers() }
        streams.start(scope)
        rollouts?.let { scope.launch { it.driver.run() } }
        binder.bind("relay", relayAcceptor.address) { relayAcceptor.start(scope) }
        // Quotas begin empty, so that a request at once would be refused as over quota.
        delay(FIRST_QUOTA_MS)
        binder.bind("callers", callerAcceptor.address) { callerAcceptor.start(scope) }
        isListening = true
    }

    private fun onStoreEraChange(era: StoreEra) {
        metrics.onStoreEraChange()
        log.stateChange("store restored", "era" to era.number)
    }

    private fun logLimitChange(target: TargetRef, perSecond: Double?) = log.stateChange(
        "target limit",
        "target" to target.id,
        "perSecond" to (perSecond ?: "none"),
        "inProgress" to scheduler.views(clock.nowMs()).find { it.id == target.id }?.ownCount
    )

    private fun registerGauges() {
        metrics.gauge("bronzetide.edge.requests.inside") { inFlightRequests.count }
        metrics.gauge("bronzetide.edge.manifest.version") { manifest()?.version ?: 0 }
        metrics.gauge("bronzetide.edge.store.era") { store.era?.number ?: 0 }
        metrics.gauge("bronzetide.edge.prompt.parts.blocked") {
            scheduler.poisonParts.blocked.size
        }
        metrics.gauge("bronzetide.edge.targets.limited") { scheduler.limits.limitedCount }
        metrics.gauge("bronzetide.edge.targets.without.path") { paths.lostCount }
        metrics.gauge("bronzetide.edge.cut.off") { if (paths.isCutOff) 1 else 0 }
        metrics.gauge("bronzetide.edge.connections.opened") { pool.openedCount }
        metrics.gauge("bronzetide.edge.targets.departed") { departures.count }
        metrics.gauge("bronzetide.edge.bodies.held.bytes") { bodies.heldBytes }
        metrics.gauge("bronzetide.edge.responses.held.bytes") {
            responseMemory.bodies.heldBytes + responseMemory.events.heldBytes
        }
        metrics.gauge("bronzetide.edge.output.held.bytes") { responseMemory.output.heldBytes }
        metrics.gauge("bronzetide.edge.relayed.in.progress") { relayServer.inProgressCount }
    }

    /**
     * Drains the process: reports that it is not ready, keeps serving until the balancer has
     * noticed, closes idle connections, and waits for the requests in progress. Those that last
     * too long get an answer shortly before the end of the grace time of the settings. A process
     * that does not listen yet has nothing to drain.
     */
    public suspend fun drain() {
        inFlightRequests.isDraining = true
        if (!isListening) {
            control.call { fleet.leave() }
            return log.stateChange("stopped before it listened")
        }
        log.stateChange("stopping", "requests" to inFlightRequests.count)
        control.post { fleet.leave() }
        delay(BALANCER_DELAY_MS)
        inFlightRequests.closeIdleConnections()
        val drainTimeoutMs = settings.bounds.stopGraceMs - BALANCER_DELAY_MS - EXIT_MARGIN_MS
        awaitRequests(drainTimeoutMs - ANSWER_MARGIN_MS)
        val remaining = inFlightRequests.count
        if (remaining > 0) log.stateChange("ending requests", "requests" to remaining)
        processEnd.end()
        awaitRequests(ANSWER_MARGIN_MS)
        log.stateChange("stopped", "requestsCutOff" to inFlightRequests.count)
    }

    private suspend fun awaitRequests(timeoutMs: Long) = withTimeoutOrNull(timeoutMs) {
        while (inFlightRequests.count > 0) delay(DRAIN_POLL_MS)
    }

    /**
     * Applies the seeds of [changed]. Addresses and bounds can't change while the process runs, so
     * other settings are ignored.
     */
    public fun reload(changed: HostSettings) {
        control.post { fleet.updateSeeds(changed.seeds) }
        val isAllApplied =
            changed.copy(seeds = settings.seeds, isFirstStart = settings.isFirstStart) == settings
        log.stateChange(
            "settings reloaded",
            "seeds" to changed.seeds.map { it.toString() },
            "needsRestart" to !isAllApplied
        )
    }

    /** Reads [settingsFile] again, whether it has changed or not. Blocks the thread. */
    internal fun rereadSettings() = settingsWatch?.reread()

    override fun close() {
        settingsWatch?.close()
        callerAcceptor.close()
        readinessAcceptor.close()
        relayAcceptor.close()
        peers.close()
        operatorAcceptor.close()
        scope.cancel()
        pool.close()
        storePool.close()
        relayPool.close()
        control.close()
        traffic.close()
    }

    private suspend fun warmUp() = if (settings.isFirstStart) {
        WarmUp(traffic).run(FIRST_START_WARM_UP_REQUESTS, FIRST_START_WARM_UP_LIMIT_MS)
    } else {
        WarmUp(traffic).run(WARM_UP_REQUESTS, WARM_UP_LIMIT_MS)
    }

    private fun manifest(): Manifest? = board[BlackboardKeys.manifest].firstOrNull()

    private fun readinessResponse() = ControlServer.Response(if (isReady) OK else UNAVAILABLE)

    private suspend fun watchStore(kind: String, observer: StoreWatcher.Observer) {
        val watchMs = StoreWatcher.watchMsWithin(settings.bounds)
        StoreWatcher(kind, store, clock, log, metrics, watchMs, observer).run()
    }

    private fun statusPage() = StatusPage(
        settings.nodeName,
        isReady,
        manifest()?.version ?: 0,
        inFlightRequests.count,
        scheduler.waitingCount,
        fleet.aggregatorName,
        fleet.arePeerLoadsCurrent,
        fleet.memberNames(),
        scheduler.views(clock.nowMs()),
        scheduler.poisonParts.blocked.keys
    )

    private fun objectsResponse(objects: List<StoredObject>) =
        ControlServer.Response(OK, StoredObjectCodec.encodeList(objects), "application/json")

    private fun fetchManifest(ip: String) {
        if (!isFetchingManifest.compareAndSet(false, true)) return
        scope.launch {
            try {
                peerClient.fetch(ip, PeerStateClient.MANIFEST_PATH)?.let {
                    manifestCache.applyIfNewer(it, "peer $ip")
                }
            } finally {
                isFetchingManifest.set(false)
            }
        }
    }

    /** Fetches the manifest and targets from peers until both are known from them or the store. */
    private suspend fun bootstrapFromPeers() {
        delay(PEER_FALLBACK_DELAY_MS)
        while (manifest() == null || !board[BlackboardKeys.areTargetsKnown]) {
            val ips = control.call { fleet.peerIps() } + settings.seeds.map { it.host }
            for (ip in ips.filter { it != settings.ip }.distinct().take(MAX_PEERS_ASKED)) {
                peerClient.fetch(ip, PeerStateClient.MANIFEST_PATH)?.let {
                    manifestCache.applyIfNewer(it, "peer $ip")
                }
                val fetched = peerClient.fetch(ip, PeerStateClient.TARGETS_PATH)
                if (!fetched.isNullOrEmpty()) targetRegistry.seedFromPeer(fetched)
            }
            delay(PEER_FALLBACK_DELAY_MS)
        }
    }

    private fun updateQuotas() {
        val accounts = manifest()?.accounts.orEmpty()
        accountShares.updateQuotas(accounts.associate { it.name to it.quotaPerS })
    }

    private fun updateTargets() {
        val entries = board[BlackboardKeys.targets]
        val targets = entries.values.map(::toFleetTarget)
        relays.onTargets()
        targetStarts.retain(entries.values.mapTo(HashSet()) { it.ref })
        streams.onTargets(targets, clock.nowMs())
        rollouts?.onTargets(targets, entries)
        scheduler.updateTargets(targets)
        scheduler.decide(clock.nowMs())
    }

    private fun toFleetTarget(entry: TargetEntry) = FleetTarget(
        entry.id,
        entry.service,
        entry.availabilityZone,
        entry.slots,
        entry.isLeaving || entry in departures,
        isEngine = manifest()?.services?.get(entry.service)?.engine != null,
        start = entry.ref.start,
        version = entry.version,
        isStartInDoubt = targetStarts.isInDoubt(entry)
    )

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503

        /** How long to wait for the store before peers are asked instead, and between rounds. */
        const val PEER_FALLBACK_DELAY_MS = 400L
        const val MAX_PEERS_ASKED = 3

        /** In which accounts accrue their first units; short beside the rest of a start. */
        const val FIRST_QUOTA_MS = 20L

        /** Loads what a request needs; callers that are waiting complete the warm-up. */
        const val WARM_UP_REQUESTS = 10
        const val WARM_UP_LIMIT_MS = 1_500L

        /** After this many requests, most methods of a request are compiled. */
        const val FIRST_START_WARM_UP_REQUESTS = 50

        /** Callers connect about 15 s after the first start of the system. */
        const val FIRST_START_WARM_UP_LIMIT_MS = 6_000L
        const val MAINTENANCE_INTERVAL_MS = 1_000L

        /** The balancer polls once a second and removes a host after two failed polls. */
        const val BALANCER_DELAY_MS = 3_000L
        const val EXIT_MARGIN_MS = 300L

        /** Enough to answer all requests in progress. */
        const val ANSWER_MARGIN_MS = 200L
        const val DRAIN_POLL_MS = 20L
    }
}
