package org.bronzetide.cli

import io.ktor.client.HttpClient
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.bronzetide.model.Intent
import org.bronzetide.model.JsonFormats
import org.bronzetide.node.entry.KeyDigest
import org.bronzetide.platform.PlatformClients
import org.bronzetide.standins.EngineProfile

/** A cluster of real nodes in front of stand-ins; [start] waits until it is configured. */
internal class TestCluster(
    nodeCount: Int,
    engineCount: Int = 3,
    profile: EngineProfile = EngineProfile(stepMs = 4.0, stepMsPerSequence = 0.2),
    usesProxies: Boolean = false
) : AutoCloseable {
    private val profiles = List(engineCount) { profile }
    val cluster = DevCluster(profiles, serviceCount = 2, nodeCount, usesProxies) {
        it.copy(ledgerFlushMs = 100)
    }
    val http: HttpClient = PlatformClients.create()
    val caller = CallerClient(http, timeoutMs = 30_000)

    fun operator(node: Int = 0) = OperatorClient(http, cluster.url(node), DevCluster.OPERATOR_KEY)

    suspend fun start(intent: String = INTENT): TestCluster {
        cluster.start()
        val plan = requireNotNull(operator().plan(intent).plan)
        val version = operator().confirm(plan).version
        await("configuration everywhere") {
            cluster.nodes.all { it.configurationVersion >= version }
        }
        await("membership") {
            operator().status().nodes.all { node ->
                node.members.count { it.state == "ALIVE" } == cluster.nodes.size
            }
        }
        return this
    }

    suspend fun complete(
        node: Int,
        prompt: String,
        options: CallerClient.Options = CallerClient.Options()
    ) = caller.complete(cluster.url(node), KEY, MODEL, prompt, options)

    suspend fun command(node: Int, key: String, body: String) = caller.command(
        "${cluster.url(node)}/v1/services/${DevCluster.SERVICE_POOL}/rulings",
        KEY,
        body,
        CallerClient.Options(idempotencyKey = key)
    )

    /** The number of times that targets received each request, by request id. */
    fun requestCounts(): Map<String, Int> {
        val counts = HashMap<String, Int>()
        cluster.engines.forEach {
            it.requestCounts.forEach { (id, n) -> counts.merge(id, n, Int::plus) }
        }
        cluster.services.forEach {
            it.requestCounts.forEach { (id, n) -> counts.merge(id, n, Int::plus) }
        }
        return counts
    }

    suspend fun await(condition: String, isDone: suspend () -> Boolean) = withTimeout(AWAIT_MS) {
        while (!isDone()) delay(20)
    }.also { check(condition.isNotEmpty()) }

    override fun close() {
        http.close()
        cluster.close()
    }

    companion object {
        const val KEY = "test-key"
        const val CALLER = "desk"
        const val MODEL = "style-1"
        private const val AWAIT_MS = 30_000L
        val INTENT = JsonFormats.settings.encodeToString(Intent.serializer(), intent())

        fun intent() = JsonFormats.settings.decodeFromString(
            Intent.serializer(),
            """
            {
              "callers": {"$CALLER": {"keySha256": "${KeyDigest.of(KEY)}", "tier": 1}},
              "pools": {
                "${DevCluster.MODEL_POOL}": {"kind": "model", "models": ["$MODEL"]},
                "${DevCluster.SERVICE_POOL}": {
                  "kind": "service",
                  "operations": [{"name": "ruling", "method": "POST", "path": "/rulings"}]
                }
              }
            }
            """.trimIndent()
        )

        fun run(
            nodeCount: Int,
            usesProxies: Boolean = false,
            profile: EngineProfile = EngineProfile(stepMs = 4.0, stepMsPerSequence = 0.2),
            block: suspend (TestCluster) -> Unit
        ) = runBlocking {
            TestCluster(nodeCount, profile = profile, usesProxies = usesProxies).use {
                block(it.start())
            }
        }
    }
}
