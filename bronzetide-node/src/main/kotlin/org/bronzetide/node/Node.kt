package org.bronzetide.node

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.NodeId
import org.bronzetide.model.PoolId
import org.bronzetide.model.TargetId
import org.bronzetide.node.dispatch.EngineClient
import org.bronzetide.node.dispatch.ServiceClient
import org.bronzetide.node.entry.Admission
import org.bronzetide.node.entry.BodyReader
import org.bronzetide.node.entry.CallerRoutes
import org.bronzetide.node.entry.IdempotentExecutor
import org.bronzetide.node.entry.InFlightRequests
import org.bronzetide.node.entry.RequestForwarder
import org.bronzetide.node.grants.GrantSource
import org.bronzetide.node.grants.LocalGrants
import org.bronzetide.node.ledger.InvoiceService
import org.bronzetide.node.ledger.LedgerWriter
import org.bronzetide.node.operator.ConfigurationService
import org.bronzetide.node.operator.OperatorRoutes
import org.bronzetide.node.telemetry.NodeMetrics
import org.bronzetide.node.telemetry.Tracing
import org.bronzetide.platform.HttpHostList
import org.bronzetide.platform.HttpObjectStore
import org.bronzetide.platform.PlatformClients
import org.slf4j.LoggerFactory

/**
 * One node of the system: the HTTP interfaces for callers and operators, and a member of the
 * cluster.
 *
 * A node's identity is that of its process. It changes at every start, so that grants and claims of
 * an earlier process at the same address are never attributed to the new one.
 */
class Node(private val settings: Settings) : AutoCloseable {
    private val log = LoggerFactory.getLogger(Node::class.java)
    private val clock = MonotonicClock.System

    /** The name from the settings, with a part of its own for this process. */
    val id = NodeId.ofNewProcess(settings.name)

    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val control = ControlLoop(clock)
    private val platformHttp = PlatformClients.create()
    private val targetHttp = PlatformClients.create()
    private val store = HttpObjectStore(platformHttp, settings.objectApiUrl)
    private val hostList = HttpHostList(platformHttp, settings.hostListUrl)
    private val metrics = NodeMetrics()
    private val tracing = Tracing(settings.traces)
    private val ledger = LedgerWriter(id, store, settings.ledgerFlushMs, settings.ledgerMaxBuffered)
    private val inFlightRequests = InFlightRequests { isReady }
    private val cluster =
        Cluster(id, settings, clock, control, store, hostList) { ownLoad() }
    private val grants: GrantSource = createGrantSource()
    private val forwarder = RequestForwarder(
        clock,
        grants,
        EngineClient(targetHttp, clock, settings.targetIdleMs),
        ServiceClient(targetHttp, clock),
        ledger,
        metrics,
        tracing
    ) { pool, target -> cluster.view.targetsOf(pool).find { it.id == target.value } }
    private val httpServer =
        NodeHttpServer(settings, { isReady }, metrics::scrape) { installRoutes() }

    @Volatile
    private var isStopping = false

    /** The port for callers and operators; the one in the settings until [start] has returned. */
    var port: Int = settings.port
        private set

    /** The port that this node listens on for peers. */
    val peerPort: Int get() = cluster.peerPort

    /**
     * Whether the node accepts new requests: it is not stopping, its ledger has free capacity, and
     * its configuration is current.
     */
    val isReady: Boolean
        get() = !isStopping && !ledger.isFull && cluster.isConfigurationCurrent

    /** The number of bytes sent to peers since the start. */
    val peerBytesSent: Long get() = cluster.bytesSent

    /** The version of the configuration that this node applies. */
    val configurationVersion: Long get() = cluster.view.configuration.version

    /**
     * The number of requests that arbiters on this node refused for lack of capacity or time, after
     * a grant to a lower tier while they waited.
     */
    suspend fun shedInversionCount(): Int = cluster.shedInversionCount()

    /** The number of requests in progress on this node. */
    val requestCount: Int get() = inFlightRequests.count

    /** The number of requests that are dispatched to a target and not finished. */
    val runningDispatchCount: Int get() = forwarder.inFlightCount

    /** Starts the node, which becomes ready once it knows the current configuration. */
    fun start() {
        control.start()
        cluster.start(scope)
        ledger.start(scope)
        metrics.gauge("bronzetide.requests.inside") { inFlightRequests.count }
        metrics.gauge("bronzetide.dispatches.running") { forwarder.inFlightCount }
        metrics.gauge("bronzetide.ledger.buffered.lines") { ledger.bufferedCount }
        metrics.gauge("bronzetide.configuration.version") { configurationVersion }
        metrics.gauge("bronzetide.peer.sent.bytes") { cluster.bytesSent }
        port = httpServer.start()
        log.info("node {} listens on port {}, for peers on port {}", id, port, peerPort)
    }

    /**
     * Shuts down gracefully: accepts no new request, hands over its roles, finishes the requests in
     * progress and closes its ledger. Waits up to [Settings.drainMaxMs] ms for requests and roles.
     * Returns whether all of this succeeded.
     */
    suspend fun drain(): Boolean {
        isStopping = true
        inFlightRequests.close()
        cluster.leave()
        val isDrained = withTimeoutOrNull(settings.drainMaxMs) {
            while (inFlightRequests.count > 0 || cluster.hasRoles()) delay(DRAIN_POLL_INTERVAL_MS)
        } != null
        val isLedgerClosed = ledger.close()
        log.info("node {} stopped; drained: {}, ledger closed: {}", id, isDrained, isLedgerClosed)
        return isDrained && isLedgerClosed
    }

    /** Stops immediately; requests in progress are aborted. */
    override fun close() {
        isStopping = true
        httpServer.close()
        scope.cancel()
        cluster.close()
        control.close()
        platformHttp.close()
        targetHttp.close()
    }

    private fun ownLoad() = Cluster.LocalLoad(inFlightRequests.count, ledger.bufferedCount, isReady)

    private fun createGrantSource(): GrantSource {
        if (settings.policy == SchedulingPolicies.BRONZETIDE) return cluster.grants
        val reports = LoadReportPoller(targetHttp) { cluster.view.hosts.targets }
        val byLoad = settings.policy == SchedulingPolicies.LEAST_LOADED
        if (byLoad) reports.start(scope)
        val local = LocalGrants(
            control,
            clock,
            targetsOf = { cluster.view.targetsOf(it) },
            share = { pool -> shareOfNode(pool) { it.concurrencyPerTarget } },
            maxQueued = { pool -> shareOfNode(pool) { it.maxQueued } },
            reportedLoad = if (byLoad) ({ target: TargetId -> reports.lastLoad(target) }) else null
        )
        control.timers.every(LOCAL_EXPIRY_INTERVAL_MS) { local.expire() }
        return local
    }

    private fun shareOfNode(
        pool: PoolId,
        total: (org.bronzetide.model.ConfigObject.PoolObject) -> Int
    ): Int {
        val poolObject = cluster.view.configuration.pools[pool] ?: return 0
        val nodes = cluster.view.hosts.nodes.size.coerceAtLeast(1)
        return (total(poolObject) + nodes - 1) / nodes
    }

    private fun io.ktor.server.routing.Route.installRoutes() {
        val bodies = BodyReader(settings.maxBodyBytes, settings.bodyTimeoutMs)
        CallerRoutes(
            scope,
            clock,
            Admission(id, clock) { cluster.view.configuration },
            bodies,
            forwarder,
            IdempotentExecutor(id, cluster.idempotencyKeys, clock),
            metrics,
            tracing,
            inFlightRequests,
            cluster.refusals
        ).install(this)
        OperatorRoutes(
            settings.operatorKeySha256s,
            bodies,
            ConfigurationService(store, { cluster.view.configuration }) {
                cluster.publishConfiguration(it)
            },
            { cluster.view.configuration },
            cluster.status,
            InvoiceService(store, cluster::isLive)
        ).install(this)
    }

    private companion object {
        const val DRAIN_POLL_INTERVAL_MS = 20L
        const val LOCAL_EXPIRY_INTERVAL_MS = 20L
    }
}
