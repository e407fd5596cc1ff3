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
 * One node: the callers' and operators' interfaces, and its part in the cluster.
 *
 * A node's identity is that of its process: it is new at every start, so that nothing that was
 * promised to or by an earlier process is taken for this one's.
 */
class Node(private val settings: Settings) : AutoCloseable {
    private val log = LoggerFactory.getLogger(Node::class.java)
    private val clock = MonotonicClock.System
    private val startedAtMs = System.currentTimeMillis()

    /** The identity of this process. */
    val id = NodeId("${settings.name}~${startedAtMs.toString(RADIX)}")

    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val control = ControlLoop(clock)
    private val platformHttp = PlatformClients.create()
    private val targetHttp = PlatformClients.create()
    private val store = HttpObjectStore(platformHttp, settings.objectApiUrl)
    private val hostList = HttpHostList(platformHttp, settings.hostListUrl)
    private val metrics = NodeMetrics()
    private val tracing = Tracing(settings.traces)
    private val ledger = LedgerWriter(id, store, settings.ledgerFlushMs, settings.ledgerMaxBuffered)
    private val gate = InFlightRequests { isReady }
    private val cluster =
        Cluster(id, settings, startedAtMs, clock, control, store, hostList) { ownLoad() }
    private val turns: GrantSource = turnSource()
    private val flow = RequestForwarder(
        clock,
        turns,
        EngineClient(targetHttp, clock, settings.targetIdleMs),
        ServiceClient(targetHttp, clock),
        ledger,
        metrics,
        tracing
    ) { pool, target -> cluster.view.targetsOf(pool).find { it.id == target.value } }
    private val http = NodeHttpServer(settings, { isReady }, metrics::scrape) { installRoutes() }

    @Volatile
    private var isStopping = false

    /** The port for callers and operators, once started. */
    var port: Int = settings.port
        private set

    /** The port for peers. */
    val peerPort: Int get() = cluster.peerPort

    /** Whether the node serves requests. */
    val isReady: Boolean
        get() = !isStopping && !ledger.isFull && cluster.isConfigurationCurrent

    /** The bytes sent to peers so far. */
    val peerBytesSent: Long get() = cluster.bytesSent

    /** The version of the configuration that is in force here. */
    val configurationVersion: Long get() = cluster.view.configuration.version

    /** The requests refused by arbiters here after a lower tier got a turn in their wait. */
    suspend fun shedInversionCount(): Int = cluster.shedInversionCount()

    /** The requests inside the node. */
    val requestCount: Int get() = gate.count

    /** The dispatches that run. */
    val runningDispatchCount: Int get() = flow.inFlightCount

    /** Starts the node; it is ready once it knows the configuration. */
    fun start() {
        control.start()
        cluster.start(scope)
        ledger.start(scope)
        metrics.gauge("bronzetide.requests.inside") { gate.count }
        metrics.gauge("bronzetide.dispatches.running") { flow.inFlightCount }
        metrics.gauge("bronzetide.ledger.buffered.lines") { ledger.bufferedCount }
        metrics.gauge("bronzetide.configuration.version") { configurationVersion }
        metrics.gauge("bronzetide.peer.sent.bytes") { cluster.bytesSent }
        port = http.start()
        log.info("node {} serves port {}, peers port {}", id, port, peerPort)
    }

    /**
     * Stops as planned: takes no new request, hands its roles over, finishes every request, and
     * closes its ledger. Returns whether all of that was done in time.
     */
    suspend fun drain(): Boolean {
        isStopping = true
        gate.close()
        cluster.leave()
        val isEmpty = withTimeoutOrNull(settings.drainMaxMs) {
            while (gate.count > 0 || cluster.hasRoles()) delay(DRAIN_CHECK_MS)
        } != null
        val isClosed = ledger.close()
        log.info("node {} stopped, requests done: {}, ledger closed: {}", id, isEmpty, isClosed)
        return isEmpty && isClosed
    }

    /** Ends at once; requests are cut off. */
    override fun close() {
        isStopping = true
        http.close()
        scope.cancel()
        cluster.close()
        control.close()
        platformHttp.close()
        targetHttp.close()
    }

    private fun ownLoad() = Cluster.LocalLoad(gate.count, ledger.bufferedCount, isReady)

    private fun turnSource(): GrantSource {
        if (settings.policy == SchedulingPolicies.BRONZETIDE) return cluster.grants
        val reports = LoadReportPoller(targetHttp) { cluster.view.hosts.targets }
        val byLoad = settings.policy == SchedulingPolicies.LEAST_LOADED
        if (byLoad) reports.start(scope)
        val local = LocalGrants(
            control,
            clock,
            targetsOf = { cluster.view.targetsOf(it) },
            share = { pool -> shareOf(pool) { it.concurrencyPerTarget } },
            maxQueued = { pool -> shareOf(pool) { it.maxQueued } },
            reportedLoad = if (byLoad) ({ target: TargetId -> reports.lastReportedLoad(target) }) else null
        )
        control.timers.every(LOCAL_EXPIRY_MS) { local.expire() }
        return local
    }

    private fun shareOf(
        pool: PoolId,
        total: (org.bronzetide.model.ConfigObject.PoolObject) -> Int
    ): Int {
        val found = cluster.view.configuration.pools[pool] ?: return 0
        val nodes = cluster.view.hosts.nodes.size.coerceAtLeast(1)
        return (total(found) + nodes - 1) / nodes
    }

    private fun io.ktor.server.routing.Route.installRoutes() {
        val bodies = BodyReader(settings.maxBodyBytes, settings.bodyTimeoutMs)
        CallerRoutes(
            scope,
            clock,
            Admission(id, clock) { cluster.view.configuration },
            bodies,
            flow,
            IdempotentExecutor(id, cluster.idempotencyKeys, clock),
            metrics,
            tracing,
            gate,
            cluster.refusals
        ).install(this)
        OperatorRoutes(
            settings.operatorKeySha256s,
            bodies,
            ConfigurationService(store, {
                cluster.view.configuration
            }) { cluster.publishConfiguration(it) },
            { cluster.view.configuration },
            cluster.status,
            InvoiceService(store, cluster::isLive)
        ).install(this)
    }

    private companion object {
        const val RADIX = 36
        const val DRAIN_CHECK_MS = 20L
        const val LOCAL_EXPIRY_MS = 20L
    }
}
