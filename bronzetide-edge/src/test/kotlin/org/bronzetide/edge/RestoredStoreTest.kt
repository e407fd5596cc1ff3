package org.bronzetide.edge

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.http.Header

/**
 * A process under a steady load of 50 requests a second, evenly spaced, whose store is restored
 * from a snapshot that has an older manifest and lacks a target.
 */
class RestoredStoreTest {
    /**
     * Guards against requests that are refused since a revoked manifest or an older list of targets
     * applies for the time until the other writers have written theirs again.
     */
    @Example
    fun noRequestFailsWhileTheStoreIsRestoredAndWrittenAgain() = EdgeTestEnvironment().use { env ->
        env.store.era = 1
        env.writeManifest(version = 1, routes = OLD_ROUTE)
        env.store.takeSnapshot()
        env.startSoundTarget("t1")
        env.writeManifest(version = 2)
        env.start()
        val entry = env.store.spec("servers", "t1")!!
        runBlocking(env.loop) {
            val load = async { steadyLoad(env) }
            delay(500)
            env.store.restore()
            delay(1_000)
            env.store.write("servers", "t1", entry)
            env.writeManifest(version = 2)
            assertThat(load.await()).hasSize(REQUESTS).containsOnly(200)
        }
        Unit
    }

    private suspend fun steadyLoad(env: EdgeTestEnvironment): List<Int> = coroutineScope {
        List(REQUESTS) { index ->
            async {
                delay(index * INTERVAL_MS)
                withTimeout(5_000) { ask(env) }
            }
        }.awaitAll()
    }

    private suspend fun ask(env: EdgeTestEnvironment): Int = env.connect().use { connection ->
        connection.send(env.request("/safe/a", listOf(Header("X-Api-Key", "key-1"))))
        val response = connection.receive()
        response.body.readAll(100_000)
        response.status
    }

    private companion object {
        const val REQUESTS = 250
        const val INTERVAL_MS = 20L
        const val OLD_ROUTE = """
            {"name":"old","host":"h.example","path_prefix":"/old/","kind":"idempotent",
              "timeout_ms":2000,"target_latency_ms":100,"priority":1,"service":"api",
              "max_attempts":1}"""
    }
}
