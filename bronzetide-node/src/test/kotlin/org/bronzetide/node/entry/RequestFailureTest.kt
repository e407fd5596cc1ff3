package org.bronzetide.node.entry

import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.NodeId
import org.bronzetide.model.ConfigObject
import org.bronzetide.model.Configuration
import org.bronzetide.model.PoolId
import org.bronzetide.model.PoolKind
import org.bronzetide.model.TargetId
import org.bronzetide.node.NodeHttpServer
import org.bronzetide.node.Settings
import org.bronzetide.node.dispatch.EngineClient
import org.bronzetide.node.dispatch.ServiceClient
import org.bronzetide.node.grants.DispatchGrant
import org.bronzetide.node.grants.GrantRequest
import org.bronzetide.node.grants.GrantResult
import org.bronzetide.node.grants.GrantSource
import org.bronzetide.node.grants.PoolShard
import org.bronzetide.node.idempotency.IdempotencyKeyService
import org.bronzetide.node.ledger.LedgerWriter
import org.bronzetide.node.operator.RecentRefusals
import org.bronzetide.node.telemetry.NodeMetrics
import org.bronzetide.node.telemetry.Tracing
import org.bronzetide.platform.HttpObjectStore
import org.bronzetide.platform.PlatformClients
import org.bronzetide.platform.TargetHost
import org.bronzetide.scheduling.Release
import org.bronzetide.standins.EngineStandIn

/** Something throws at each stage in the path of a request that was read. */
class RequestFailureTest {
    /** Where something throws, and the verdict that the caller gets. */
    enum class Stage(val verdict: String) {
        READINESS("NotRun"),
        AUTHENTICATION("NotRun"),
        POOL("NotRun"),
        ADMISSION("NotRun"),
        GRANT("NotRun"),
        HOST("NotRun"),
        FIRST_TOKEN("MayHaveRun"),
        RELEASE("MayHaveRun")
    }

    private val failures = listOf(
        { IllegalStateException("on purpose") },
        { IOException("on purpose") },
        { CancellationException("on purpose, not by the caller") },
        { OutOfMemoryError("on purpose") }
    )

    /** Guards against requests that end without an answer, or with one that has no verdict. */
    @Example
    fun requestGetsOneVerdictWhateverIsThrownAtAnyStage() {
        val violations = Stage.entries.flatMap { stage ->
            failures.flatMap { failure ->
                listOf(false, true).mapNotNull { isStreamed ->
                    runCatching { Fixture(stage, failure()).use { it.check(isStreamed) } }
                        .exceptionOrNull()
                        ?.let { "$stage, ${failure()}, stream: $isStreamed: ${it.message ?: it}" }
                }
            }
        }
        assertThat(violations).isEmpty()
    }

    private class Fixture(val stage: Stage, val failure: Throwable) : AutoCloseable {
        private val clock = MonotonicClock.System
        private val control = ControlLoop(clock)
        private val http = PlatformClients.create()
        private val engine = EngineStandIn()
        private val configurationReads = AtomicInteger()
        private val metrics = NodeMetrics()
        private val grants = Grants()
        private val inFlight = InFlightRequests {
            fail(Stage.READINESS)
            true
        }
        private val forwarder = RequestForwarder(
            clock,
            grants,
            EngineClient(http, clock, idleTimeoutMs = 200),
            ServiceClient(http, clock),
            LedgerWriter(self, HttpObjectStore(http, engine.url), 1_000, 100),
            metrics,
            Tracing("none")
        ) { pool, target ->
            fail(Stage.HOST)
            TargetHost(target.value, pool.value, "127.0.0.1", engine.port, "z")
        }
        private val routes = CallerRoutes(
            CoroutineScope(SupervisorJob() + Dispatchers.Default),
            clock,
            Admission(self, clock, ::configuration),
            BodyReader(10_000, 1_000),
            forwarder,
            IdempotentExecutor(
                self,
                IdempotencyKeyService(self, control, clock) { _, _ ->
                },
                clock
            ),
            metrics,
            Tracing("none"),
            inFlight,
            RecentRefusals(clock)
        )
        private val settings = Settings(
            "n",
            "z",
            port = 0,
            objectApiUrl = "",
            hostListUrl = "",
            clusterKey = ""
        )
        private val server =
            NodeHttpServer(settings, { true }, metrics::scrape) { routes.install(this) }

        fun check(isStreamed: Boolean) {
            val body = """{"model":"m","stream":$isStreamed,"max_tokens":5,
                "messages":[{"role":"user","content":"hi"}]}"""
            val request =
                HttpRequest.newBuilder(
                    URI("http://127.0.0.1:${server.start()}/v1/chat/completions")
                )
                    .header("Authorization", "Bearer key")
                    .timeout(Duration.ofSeconds(5))
                    .POST(HttpRequest.BodyPublishers.ofString(body)).build()
            val response =
                HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString())
            // The verdict of a stream that has begun is in its last event.
            if (response.statusCode() != 200) {
                assertThat(
                    response.headers().firstValue(HeaderNames.VERDICT)
                ).contains(stage.verdict)
                assertThat(response.headers().firstValue(HeaderNames.REQUEST_ID)).isPresent
            }
            assertThat(response.body()).contains("\"verdict\":\"${stage.verdict}\"")
            assertThat(response.body()).doesNotContain("[DONE]")
            val endNs = System.nanoTime() + 2_000_000_000
            while (heldCount() != 0 && System.nanoTime() < endNs) Thread.sleep(5)
            assertThat(heldCount()).isZero()
        }

        private fun heldCount() = inFlight.count + forwarder.inFlightCount + grants.heldCount.get()

        private fun fail(at: Stage) {
            if (stage == at) throw failure
        }

        private fun configuration(): Configuration {
            when (configurationReads.incrementAndGet()) {
                1 -> fail(Stage.AUTHENTICATION)
                2 -> fail(Stage.POOL)
                else -> fail(Stage.ADMISSION)
            }
            return CONFIGURATION
        }

        override fun close() {
            server.close()
            engine.close()
            http.close()
            control.close()
        }

        private inner class Grants : GrantSource {
            val heldCount = AtomicInteger()

            override suspend fun acquire(request: GrantRequest): GrantResult {
                fail(Stage.GRANT)
                heldCount.incrementAndGet()
                return GrantResult.Granted(DispatchGrant(PoolShard(POOL), 1, TargetId("t")))
            }

            override fun onFirstToken(grant: DispatchGrant) = fail(Stage.FIRST_TOKEN)

            override fun release(grant: DispatchGrant, release: Release) {
                heldCount.decrementAndGet()
                fail(Stage.RELEASE)
            }
        }
    }

    private companion object {
        val self = NodeId("n")
        val POOL = PoolId("p")
        val CONFIGURATION = Configuration(
            1,
            mapOf(
                "caller/c" to ConfigObject.CallerObject(KeyDigest.of("key")),
                "pool/p" to ConfigObject.PoolObject(PoolKind.MODEL, models = listOf("m"))
            )
        )
    }
}
