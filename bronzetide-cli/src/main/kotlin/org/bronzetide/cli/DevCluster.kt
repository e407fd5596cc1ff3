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

/** Nodes and stand-ins in one process, for first steps and experiments. */
class DevCluster(
    profiles: List<EngineProfile>,
    serviceCount: Int,
    private val nodeCount: Int,
    private val usesProxies: Boolean = false,
    private val customizeSettings: (Settings) -> Settings = { it }
) : AutoCloseable {
    /** The platform's Object API. */
    val store = ObjectApiStandIn()

    /** The platform's host list. */
    val hostList = HostListStandIn()

    /** The engines of the pool `style-model`. */
    val engines = profiles.map { EngineStandIn(it) }

    /** The replicas of the pool `guide-api`. */
    val services = List(serviceCount) { ServiceStandIn() }

    /** What stands between nodes and their targets and peers, if anything. */
    val proxies = ArrayList<StallingTcpProxy>()

    /** The nodes that run now. */
    val nodes = CopyOnWriteArrayList<Node>()

    init {
        hostList.update { Hosts(targets = engineHosts() + serviceHosts()) }
    }

    /** The base URL of the ready node [index], counted round. */
    fun url(index: Int): String {
        val ready = nodes.toList().filter { it.isReady }.ifEmpty { nodes }
        return "http://127.0.0.1:${ready[index % ready.size].port}"
    }

    /** Starts all nodes and waits until they are ready and know each other. */
    suspend fun start() {
        repeat(nodeCount) { addNode(it) }
        withTimeout(START_TIMEOUT_MS) {
            while (!nodes.all { it.isReady }) delay(POLL_MS)
        }
    }

    /** Starts a node named after [index]. */
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
            list.copy(
                nodes =
                list.nodes.filter { it.name != host.name } + host
            )
        }
        return node
    }

    /** The settings of the node named after [index]. */
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
        TargetHost("engine-$index", MODEL_POOL, "127.0.0.1", proxiedPort(engine.port), zoneOf(index))
    }

    private fun serviceHosts() = services.mapIndexed { index, service ->
        TargetHost("guide-$index", SERVICE_POOL, "127.0.0.1", proxiedPort(service.port), zoneOf(index))
    }

    private fun proxiedPort(port: Int): Int {
        if (!usesProxies) return port
        return StallingTcpProxy().also {
            it.targetPort = port
            proxies += it
        }.port
    }

    private fun zoneOf(index: Int) = ZONES[index % ZONES.size]

    companion object {
        /** The operator's key of such clusters. */
        const val OPERATOR_KEY: String = "operator-of-this-loopback-cluster"

        /** The pool of engines. */
        const val MODEL_POOL: String = "style-model"

        /** The pool of plain services. */
        const val SERVICE_POOL: String = "guide-api"
        private const val START_TIMEOUT_MS = 20_000L
        private const val HTTP_THREADS = 2
        private const val POLL_MS = 20L
        private val ZONES = listOf("ca-west-a", "ca-west-b", "ca-west-c")
    }
}
