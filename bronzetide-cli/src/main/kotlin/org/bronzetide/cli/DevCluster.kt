package org.bronzetide.cli

import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import org.bronzetide.node.Node
import org.bronzetide.node.Settings
import org.bronzetide.node.entry.KeyDigest
import org.bronzetide.platform.Hosts
import org.bronzetide.platform.NodeHost
import org.bronzetide.platform.TargetHost
import org.bronzetide.standins.EngineProfile
import org.bronzetide.standins.EngineStandIn
import org.bronzetide.standins.HostListStandIn
import org.bronzetide.standins.ObjectApiStandIn
import org.bronzetide.standins.ServiceStandIn
import org.bronzetide.standins.StallingTcpProxy

/**
 * A cluster of nodes with simulated engines, services and platform in one process, for first steps
 * and experiments.
 *
 * @param profiles the profile of each engine
 * @param serviceCount the number of replicas of the plain service
 * @param nodeCount the number of nodes that [start] starts
 * @param usesProxies whether targets and peers are reached through proxies that can stall
 * @param customizeSettings changes the settings of each node before it starts
 */
class DevCluster(
    profiles: List<EngineProfile>,
    serviceCount: Int,
    private val nodeCount: Int,
    private val usesProxies: Boolean = false,
    private val customizeSettings: (Settings) -> Settings = { it }
) : AutoCloseable {
    /** The simulated Object API of the platform. */
    val store = ObjectApiStandIn()

    /** The simulated host list of the platform. */
    val hostList = HostListStandIn()

    /** The engines of the pool [MODEL_POOL]. */
    val engines = profiles.map { EngineStandIn(it) }

    /** The replicas of the pool [SERVICE_POOL]. */
    val services = List(serviceCount) { ServiceStandIn() }

    /** The proxies between nodes and their targets and peers; empty if none are used. */
    val proxies = ArrayList<StallingTcpProxy>()

    /** The running nodes. */
    val nodes = CopyOnWriteArrayList<Node>()

    init {
        hostList.update { Hosts(targets = engineHosts() + serviceHosts()) }
    }

    /**
     * The base URL of the ready node at [index], modulo the number of ready nodes. If none is
     * ready, the same of all running nodes.
     */
    fun url(index: Int): String {
        val ready = nodes.toList().filter { it.isReady }.ifEmpty { nodes }
        return "http://127.0.0.1:${ready[index % ready.size].port}"
    }

    /**
     * Starts all nodes and waits until they are ready.
     *
     * @throws kotlinx.coroutines.TimeoutCancellationException if that takes longer than 20 s
     */
    suspend fun start() {
        repeat(nodeCount) { addNode(it) }
        withTimeout(START_TIMEOUT_MS) {
            while (!nodes.all { it.isReady }) delay(POLL_INTERVAL_MS)
        }
    }

    /** Starts the node `node-`[index] and adds it to the host list. */
    fun addNode(index: Int): Node {
        val proxy = if (usesProxies) StallingTcpProxy().also { proxies += it } else null
        val settings = settings(index).copy(advertisedPeerPort = proxy?.port ?: 0)
        val node = Node(customizeSettings(settings))
        proxy?.targetPort = node.peerPort
        node.start()
        nodes += node
        val port = proxy?.port ?: node.peerPort
        val host = NodeHost("node-$index", "127.0.0.1", port, zoneOf(index))
        hostList.update { list ->
            list.copy(nodes = list.nodes.filter { it.name != host.name } + host)
        }
        return node
    }

    /** The settings of the node `node-`[index]. */
    fun settings(index: Int): Settings = Settings(
        name = "node-$index",
        zone = zoneOf(index),
        port = 0,
        httpThreads = HTTP_THREADS,
        peerPort = 0,
        objectApiUrl = store.url,
        hostListUrl = hostList.url,
        clusterKey = "loopback-cluster-key",
        operatorKeySha256s = listOf(KeyDigest.of(OPERATOR_KEY))
    )

    override fun close() {
        nodes.forEach { it.close() }
        engines.forEach { it.close() }
        services.forEach { it.close() }
        proxies.forEach { it.close() }
        hostList.close()
        store.close()
    }

    private fun engineHosts() = engines.mapIndexed { index, engine ->
        TargetHost("engine-$index", MODEL_POOL, "127.0.0.1", viaProxy(engine.port), zoneOf(index))
    }

    private fun serviceHosts() = services.mapIndexed { index, service ->
        TargetHost("guide-$index", SERVICE_POOL, "127.0.0.1", viaProxy(service.port), zoneOf(index))
    }

    private fun viaProxy(port: Int): Int {
        if (!usesProxies) return port
        return StallingTcpProxy().also {
            it.targetPort = port
            proxies += it
        }.port
    }

    private fun zoneOf(index: Int) = ZONES[index % ZONES.size]

    companion object {
        /** The operator's bearer key. */
        const val OPERATOR_KEY: String = "operator-of-this-loopback-cluster"

        /** The name of the pool of engines. */
        const val MODEL_POOL: String = "style-model"

        /** The name of the pool of plain services. */
        const val SERVICE_POOL: String = "guide-api"
        private const val START_TIMEOUT_MS = 20_000L
        private const val HTTP_THREADS = 2
        private const val POLL_INTERVAL_MS = 20L
        private val ZONES = listOf("ca-west-a", "ca-west-b", "ca-west-c")
    }
}
