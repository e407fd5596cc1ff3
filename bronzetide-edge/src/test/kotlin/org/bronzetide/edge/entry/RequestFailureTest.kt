package org.bronzetide.edge.entry

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Meter
import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.distribution.DistributionStatisticConfig
import io.micrometer.core.instrument.distribution.pause.PauseDetector
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.io.IOException
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.memory.BodyBudget
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.edge.standin.SessionServer
import org.bronzetide.edge.standin.StandInServer
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.http.ConnectionPool
import org.bronzetide.http.Header
import org.bronzetide.http.HttpConnection
import org.bronzetide.http.OutgoingRequest
import org.bronzetide.http.TrafficLoop
import org.bronzetide.platform.fleet.Account
import org.bronzetide.platform.fleet.CallerLimits
import org.bronzetide.platform.fleet.Manifest
import org.bronzetide.platform.fleet.Route
import org.bronzetide.platform.fleet.RouteKind
import org.bronzetide.platform.fleet.SocketAddress
import org.bronzetide.platform.fleet.TargetEntry
import org.bronzetide.platform.fleet.WeightedService
import org.bronzetide.scheduling.fleet.FleetScheduler
import org.bronzetide.scheduling.fleet.FleetTarget
import org.slf4j.LoggerFactory

/** Something throws at each stage in the path of a request that was read. */
class RequestFailureTest {
    /** Where something throws, and the status that the caller gets; `null` for a visible cut. */
    enum class Stage(val status: Int?, val path: String = "/once/", val isArmedByTarget: Boolean) {
        ADMISSION(503, isArmedByTarget = false),
        QUOTA(503, isArmedByTarget = false),
        SCHEDULER(503, isArmedByTarget = false),
        CHOICE(503, isArmedByTarget = false),
        LOG(503, isArmedByTarget = false),
        SENDING(502, isArmedByTarget = false),
        READING(502, isArmedByTarget = true),
        FINISHING(502, isArmedByTarget = true),
        FIRST_EVENT(502, "/stream/", isArmedByTarget = false),
        BETWEEN_EVENTS(null, "/stream/", isArmedByTarget = true),
        REFUND(503, isArmedByTarget = false),
        METRICS(200, isArmedByTarget = false)
    }

    private val failures = listOf(
        { IllegalStateException("on purpose") },
        { IOException("on purpose, not the caller's") },
        { CancellationException("on purpose, not by the caller") },
        { OutOfMemoryError("on purpose") },
        { StackOverflowError("on purpose") }
    )

    /** Guards against requests that get neither an answer nor a refusal (LOST), or two answers. */
    @Example
    fun requestGetsOneEndWhateverIsThrownAtAnyStage() {
        val violations = Stage.entries.flatMap { stage ->
            failures.mapNotNull { failure ->
                runCatching { Fixture(stage, failure()).use { it.check() } }.exceptionOrNull()
                    ?.let { "$stage, ${failure()}: ${it.message}" }
            }
        }
        assertThat(violations).isEmpty()
    }

    private class Fixture(val stage: Stage, val failure: Throwable) : AutoCloseable {
        @Volatile
        private var isArmed = !stage.isArmedByTarget
        private val consumedUnits = AtomicLong()
        private val arrivals = AtomicInteger()
        private val scheduler = FleetScheduler("z1", Random(1)).apply {
            updateTargets(listOf(FleetTarget("t", "s", "z1", 4, isLeaving = false, false)))
        }
        private val bodies = BodyBudget(largeBytes = 100_000, mediumBytes = 100_000)
        private val target = StandInServer { request, _, connection ->
            arrivals.incrementAndGet()
            val isFirst = request.headers["Request-Id"] == FIRST
            if (isFirst && stage.isArmedByTarget && stage.status != null) isArmed = true
            if (isFirst && stage == Stage.FINISHING) return@StandInServer false
            if (!request.path.startsWith("/stream/")) {
                return@StandInServer EdgeTestEnvironment.sendSignedResponse(request, connection)
            }
            EdgeTestEnvironment.startStream(request, connection)
            connection.sendChunk(EdgeTestEnvironment.event(1).encodeToByteArray())
            delay(50)
            if (stage == Stage.BETWEEN_EVENTS) isArmed = true
            connection.sendChunk(EdgeTestEnvironment.event(2).encodeToByteArray())
            connection.finishResponse()
            true
        }
        private val parts = SessionServer.Parts(
            manifest = {
                fail(Stage.ADMISSION)
                MANIFEST
            },
            quotas = Quotas(),
            findTarget = {
                fail(Stage.CHOICE)
                entry().takeUnless { isArmed && stage == Stage.REFUND }
            },
            scheduler = scheduler,
            schedulerClock = clock(Stage.SCHEDULER) { Thread.currentThread().name == "control" },
            forwarderClock = clock(Stage.FINISHING, Stage.BETWEEN_EVENTS),
            clientClock = clock(Stage.SENDING, Stage.READING),
            logClock = clock(Stage.LOG),
            metrics = EdgeMetrics(FailingRegistry())
        )
        private val server = SessionServer(bodies, parts).apply {
            limits = CallerLimits(idleTimeoutMs = 15_000)
        }
        private val loop = TrafficLoop()
        private val pool = ConnectionPool(loop, MonotonicClock.System)
        private val lines = ListAppender<ILoggingEvent>().apply {
            list = CopyOnWriteArrayList()
            start()
        }
        private val logger = LoggerFactory.getLogger("decisions") as Logger

        init {
            logger.addAppender(lines)
        }

        fun check() = runBlocking {
            withTimeout(2_000) {
                pool.open("127.0.0.1", server.port).use { connection ->
                    checkFirst(connection)
                    val consumed = consumedUnits.get()
                    if (stage.status == 503 && stage != Stage.REFUND) assertThat(consumed).isZero()
                    checkReleased()
                    isArmed = false
                    if (stage.status != null) checkNext(connection)
                }
                checkReleased()
            }
        }

        private suspend fun checkFirst(connection: HttpConnection) {
            connection.send(request(FIRST))
            val response = connection.receive()
            assertThat(response.status).isEqualTo(stage.status ?: 200)
            assertThat(response.headers["Request-Id"]).isEqualTo(FIRST)
            val body = runCatching { response.body.readAll(10_000) }
            assertThat(body.isSuccess).isEqualTo(stage.status != null)
            assertThat(arrivals.get()).isLessThanOrEqualTo(if (stage.status == 503) 0 else 1)
            while (stage != Stage.LOG && endsOfFirst().isEmpty()) delay(5)
            delay(20)
            assertThat(endsOfFirst()).hasSize(if (stage == Stage.LOG) 0 else 1)
        }

        private fun endsOfFirst() = lines.list.filter { line ->
            line.message == "ended" && line.keyValuePairs.any { it.value == FIRST }
        }

        /** The connection carries the next request, whose response is its own. */
        private suspend fun checkNext(connection: HttpConnection) {
            connection.send(request("second"))
            val response = connection.receive()
            assertThat(response.status).isEqualTo(200)
            assertThat(response.headers["Request-Id"]).isEqualTo("second")
            response.body.readAll(10_000)
        }

        private suspend fun checkReleased() {
            while (
                server.inFlightRequests.count + scheduler.runningCount + scheduler.waitingCount > 0
            ) {
                delay(5)
            }
            assertThat(bodies.heldBytes).isZero()
        }

        private fun request(id: String) = OutgoingRequest(
            "POST",
            stage.path,
            listOf(Header("Host", "h"), Header("Request-Id", id), Header("X-Api-Key", "k")),
            ByteArray(5_000)
        )

        private fun entry() =
            TargetEntry("t", "s", SocketAddress("127.0.0.1", target.port), "z1", 4, false, 0)

        private fun fail(at: Stage) {
            if (isArmed && stage == at) throw failure
        }

        private fun clock(vararg stages: Stage, isHere: () -> Boolean = { true }) = MonotonicClock {
            if (isHere()) stages.forEach(::fail)
            MonotonicClock.System.nowMs()
        }

        override fun close() {
            logger.detachAppender(lines)
            pool.close()
            loop.close()
            server.close()
            target.close()
        }

        private inner class Quotas : AdmissionController.AccountQuotas {
            override suspend fun tryConsume(account: Account, charge: QuotaCharge): Long? {
                fail(Stage.QUOTA)
                consumedUnits.addAndGet(charge.units)
                return null
            }

            override fun refund(account: Account, units: Long) {
                fail(Stage.REFUND)
                consumedUnits.addAndGet(-units)
            }
        }

        private inner class FailingRegistry : PrometheusMeterRegistry(PrometheusConfig.DEFAULT) {
            override fun newCounter(id: Meter.Id): Counter {
                fail(Stage.METRICS)
                return super.newCounter(id)
            }

            override fun newTimer(
                id: Meter.Id,
                config: DistributionStatisticConfig,
                pauses: PauseDetector
            ): Timer {
                if (id.name == "bronzetide.edge.first.event") fail(Stage.FIRST_EVENT)
                return super.newTimer(id, config, pauses)
            }
        }
    }

    private companion object {
        const val FIRST = "first"
        val MANIFEST = Manifest(
            1,
            listOf(
                route("/once/", RouteKind.NonIdempotent),
                route("/stream/", RouteKind.Streaming(isResumable = false, 300))
            ),
            emptyMap(),
            listOf(Account("a", listOf("k"), null, isQuotaInTokens = false, 1, 100.0, 100.0)),
            CallerLimits()
        )

        fun route(prefix: String, kind: RouteKind) = Route(
            prefix, "h", prefix, kind, timeoutMs = 2_000, targetLatencyMs = 100, priority = 1,
            maxAttempts = 1, isPublic = false, listOf(WeightedService("s", 1.0))
        )
    }
}
