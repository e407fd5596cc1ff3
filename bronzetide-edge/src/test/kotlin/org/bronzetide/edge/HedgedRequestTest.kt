package org.bronzetide.edge

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.Header
import org.bronzetide.http.IncomingRequest
import org.bronzetide.scheduling.fleet.HedgingShare
import org.slf4j.LoggerFactory

/**
 * One slow request among fast ones. Guards against losers that keep their targets busy, against
 * responses lost with a hedge, and against requests that run twice although they may not.
 */
class HedgedRequestTest {
    private val environment =
        EdgeTestEnvironment(hedgingShare = checkNotNull(HedgingShare.parseOrNull("1")))
    private val lines = ListAppender<ILoggingEvent>().apply { list = CopyOnWriteArrayList() }
    private val logger = LoggerFactory.getLogger("decisions") as Logger
    private val slowSends = AtomicInteger()

    /** When the first and the second send of the slow request arrived. */
    private val arrivedAtNs = LongArray(2)

    /** When the edge closed the connection of the first and the second send, or 0. */
    private val closedAtNs = LongArray(2)

    @Volatile
    private var respondedAtNs = 0L

    @AfterTry
    fun close() {
        logger.detachAppender(lines)
        environment.close()
    }

    @Example
    fun firstRunIsLeftAtOnceWhenItsHedgeResponds() {
        start(
            { request, connection ->
                EdgeTestEnvironment.startStream(request, connection)
                awaitClose(0, connection)
            },
            { request, connection ->
                EdgeTestEnvironment.startStream(request, connection)
                delay(100)
                respondedAtNs = System.nanoTime()
                connection.sendChunk(EdgeTestEnvironment.events(1..2).encodeToByteArray())
                delay(600)
                connection.sendChunk(EdgeTestEnvironment.events(3..6).encodeToByteArray())
                connection.finishResponse()
                true
            }
        )
        assertThat(askSlow("/stream/")).isEqualTo(EdgeTestEnvironment.events(1..6))
        assertThat(closedMsAfterResponse(0)).isBetween(0, 400)
        assertThat((arrivedAtNs[1] - arrivedAtNs[0]) / 1_000_000).isLessThan(SILENT_AFTER_MS)
        assertThat(hedgedRuns()).containsExactly("hedge RESPONDED", "first CANCELLED")
        assertThat(lines.list.filter { it.message == "send failed" }).isEmpty()
    }

    /** The hedge has sent its head, which does not tell when its first event follows. */
    @Example
    fun hedgeIsLeftAtOnceWhenTheFirstRunResponds() {
        start(
            { request, connection ->
                delay(500)
                respondedAtNs = System.nanoTime()
                sendStream(request, connection)
            },
            { request, connection ->
                EdgeTestEnvironment.startStream(request, connection)
                awaitClose(1, connection)
            }
        )
        assertThat(askSlow("/stream/")).isEqualTo(EdgeTestEnvironment.events(1..6))
        assertThat(closedMsAfterResponse(1)).isBetween(0, 400)
        assertThat(hedgedRuns()).containsExactly("hedge CANCELLED", "first RESPONDED")
    }

    @Example
    fun firstRunContinuesWhenItsHedgeIsRefused() {
        start(
            { request, connection ->
                delay(500)
                sendStream(request, connection)
            },
            { request, connection ->
                val id = Header("Request-Id", request.headers["Request-Id"].orEmpty())
                connection.send(503, listOf(id, Header("Not-Executed", "1")), ByteArray(0))
                true
            }
        )
        assertThat(askSlow("/stream/")).isEqualTo(EdgeTestEnvironment.events(1..6))
        assertThat(hedgedRuns()).containsExactly("hedge FAILED", "first CONTINUED")
        assertThat(slowSends.get()).isEqualTo(2)
    }

    @Example
    fun firstRunContinuesWhenItsHedgeBreaksOff() {
        start(
            { request, connection ->
                delay(500)
                sendStream(request, connection)
            },
            { request, connection ->
                EdgeTestEnvironment.startStream(request, connection)
                false
            }
        )
        assertThat(askSlow("/stream/")).isEqualTo(EdgeTestEnvironment.events(1..6))
        assertThat(hedgedRuns()).containsExactly("hedge FAILED", "first CONTINUED")
    }

    @Example
    fun bothRunsAreLeftWhenTheCallerDisconnects() {
        start(
            { _, connection -> awaitClose(0, connection) },
            { _, connection -> awaitClose(1, connection) }
        )
        runBlocking {
            val headers = listOf(Header("X-Api-Key", "key-1"), Header(SLOW, "1"))
            environment.connect().use {
                it.send(environment.request("/stream/", headers))
                withTimeout(3_000) { while (slowSends.get() < 2) delay(1) }
            }
            respondedAtNs = System.nanoTime()
            withTimeout(1_000) { while (closedAtNs.any { it == 0L }) delay(1) }
        }
        assertThat(hedgedRuns()).containsExactly("hedge CANCELLED", "first CANCELLED")
    }

    /** The route allows two attempts, which are for requests that have certainly not run. */
    @Example
    fun requestThatMayRunOnlyOnceIsNotHedged() {
        start(
            { request, connection ->
                delay(700)
                EdgeTestEnvironment.sendSignedResponse(request, connection)
            },
            EdgeTestEnvironment::sendSignedResponse,
            service = "api",
            path = "/twice/"
        )
        assertThat(askSlow("/twice/")).isEqualTo("answer")
        assertThat(slowSends.get()).isEqualTo(1)
    }

    /** Starts two targets, and sends enough requests for the usual time to be known. */
    private fun start(
        first: suspend (IncomingRequest, CallerConnection) -> Boolean,
        second: suspend (IncomingRequest, CallerConnection) -> Boolean,
        service: String = "model",
        path: String = "/stream/"
    ) {
        repeat(2) { index ->
            environment.startTarget("t$index", service) { request, connection ->
                if (request.headers[SLOW] != null) {
                    val send = slowSends.incrementAndGet()
                    arrivedAtNs[send - 1] = System.nanoTime()
                    (if (send == 1) first else second)(request, connection)
                } else if (service == "model") {
                    sendStream(request, connection)
                } else {
                    EdgeTestEnvironment.sendSignedResponse(request, connection)
                }
            }
        }
        environment.writeManifest(routes = EdgeTestEnvironment.ROUTES + UNSAFE_ROUTE)
        environment.start()
        runBlocking {
            val headers = listOf(Header("X-Api-Key", "key-1"))
            environment.connect().use { connection ->
                repeat(60) {
                    connection.send(environment.request(path, headers))
                    connection.receive().body.readAll(1_000)
                }
            }
        }
        logger.addAppender(lines.apply { start() })
    }

    private fun askSlow(path: String): String {
        val headers = listOf(Header("X-Api-Key", "key-1"), Header(SLOW, "1"))
        return environment.ask(path, headers).body
    }

    private suspend fun sendStream(request: IncomingRequest, connection: CallerConnection) =
        EdgeTestEnvironment.startStream(request, connection).let {
            connection.sendChunk(EdgeTestEnvironment.events(1..6).encodeToByteArray())
            connection.finishResponse()
            true
        }

    private suspend fun awaitClose(send: Int, connection: CallerConnection): Boolean {
        withTimeoutOrNull(2_500) {
            connection.awaitClose()
            closedAtNs[send] = System.nanoTime()
        }
        return false
    }

    private fun closedMsAfterResponse(send: Int): Long {
        runBlocking { withTimeoutOrNull(1_000) { while (closedAtNs[send] == 0L) delay(1) } }
        return (closedAtNs[send] - respondedAtNs) / 1_000_000
    }

    private fun hedgedRuns(): List<String> = lines.list.filter { it.message == "hedged run" }
        .map { line ->
            val fields = line.keyValuePairs.associate { it.key to it.value }
            "${fields["run"]} ${fields["outcome"]}"
        }

    private companion object {
        const val SLOW = "X-Slow"
        const val UNSAFE_ROUTE = """,
            {"name":"twice","host":"h.example","path_prefix":"/twice/","kind":"non_idempotent",
              "timeout_ms":2000,"target_latency_ms":100,"priority":1,"service":"api",
              "max_attempts":2}"""

        /** After this time another target is tried without hedging. */
        const val SILENT_AFTER_MS = 800L
    }
}
