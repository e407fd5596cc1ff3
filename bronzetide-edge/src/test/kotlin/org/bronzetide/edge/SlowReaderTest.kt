package org.bronzetide.edge

import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlinx.coroutines.delay
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.memory.BodyBudget
import org.bronzetide.edge.memory.ByteCredits
import org.bronzetide.edge.memory.OutputBuffer
import org.bronzetide.edge.memory.ResponseMemory
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.edge.standin.SessionServer
import org.bronzetide.edge.standin.StandInServer
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.http.CallerConnection
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
import org.bronzetide.scheduling.fleet.WindowedRetryBudget

/**
 * Callers that read a stream slowly or not at all. The load: targets that send 12 MB at once, more
 * than the sockets of a connection on loopback hold.
 */
class SlowReaderTest {
    private val finished = AtomicInteger()
    private val brokenOff = AtomicInteger()
    private val metrics = EdgeMetrics()
    private val scheduler = FleetScheduler("z1", Random(1)).apply {
        updateTargets(
            listOf("t", "u").map {
                FleetTarget(it, "s", "z1", SLOTS, isLeaving = false, false, version = "v1")
            }
        )
    }
    private val target = StandInServer { request, _, connection ->
        if (request.path.startsWith("/large/")) {
            val headers = EdgeTestEnvironment.signedHeaders(request)
            connection.send(200, headers, ByteArray(LARGE_ANSWER_BYTES))
            return@StandInServer true
        }
        val (start, count) = request.path.split('/').takeLast(2)
        try {
            EdgeTestEnvironment.startStream(request, connection)
            val resumesAfter = request.headers["Last-Event-ID"]?.toInt()
            val breaksOff = start == "abort" || start == "half" && resumesAfter == null
            val last = if (start == "half" && breaksOff) HALF else count.toInt()
            sendEvents(connection, (resumesAfter ?: 0) + 1..last)
            if (start == "endless") delay(60_000)
            if (breaksOff) return@StandInServer false
            connection.finishResponse()
            finished.incrementAndGet()
            true
        } catch (cause: IOException) {
            brokenOff.incrementAndGet()
            throw cause
        }
    }
    private var output = OutputBuffer(OutputBuffer.Limits(LARGE, LARGE, LARGE))
    private val server by lazy {
        val memory = ResponseMemory(BodyBudget.ofResponses(), ByteCredits(LARGE), output)
        val address = SocketAddress(IP, target.port)
        val parts = SessionServer.Parts(
            { MANIFEST },
            findTarget = { TargetEntry(it, "s", address, "z1", SLOTS, false, 0, "v1") },
            scheduler = scheduler,
            metrics = metrics,
            memory = memory,
            retryBudget = WindowedRetryBudget(1.0, 10.0, 1_000) { 1 }
        )
        SessionServer(BodyBudget.ofHeap(), parts).apply {
            limits = CallerLimits(idleTimeoutMs = 15_000)
        }
    }
    private val callers = CopyOnWriteArrayList<Socket>()

    @AfterTry
    fun close() {
        callers.forEach { it.close() }
        server.close()
        target.close()
    }

    /** Guards against a target that waits for a slow caller, and a slot that is held meanwhile. */
    @Example
    fun targetIsReadToItsEndWhileItsCallerReadsNothing() {
        val slow = ask("all/$EVENTS")
        await { finished.get() == 1 && scheduler.runningCount == 0 }
        assertThat(output.heldBytes).isPositive()
        assertThat(read(ask("all/3"))).isEqualTo(Received(3, hasEnd = true))
        // The end marker follows the last byte, and each event came once and in order.
        assertThat(read(slow)).isEqualTo(Received(EVENTS, hasEnd = true))
        awaitReleased()
    }

    /** Guards against events that are lost or change places when a caller reads again. */
    @Example
    fun callerThatReadsInBurstsGetsAllEventsInOrder() {
        val slow = ask("all/$EVENTS")
        val received = read(slow, pauseMs = 20, pauseBytes = 1_000_000)
        assertThat(received).isEqualTo(Received(EVENTS, hasEnd = true))
        awaitReleased()
        assertThat(metrics.scrape()).doesNotContain("callers_cut")
    }

    /** Guards against a target that sends much at once and thus cuts off a caller that reads. */
    @Example
    fun callerThatReadsSteadilyIsNotCutAtTheLimitOfItsConnection() {
        output = OutputBuffer(OutputBuffer.Limits(20_000, LARGE, LARGE))
        val received = read(ask("all/$EVENTS"), pauseMs = 5, pauseBytes = 200_000)
        assertThat(received).isEqualTo(Received(EVENTS, hasEnd = true))
        awaitReleased()
    }

    /** Guards against memory that grows with what a caller does not read. */
    @Example
    fun callerThatReadsNothingIsCutAtTheLimitOfItsConnection() {
        output = OutputBuffer(OutputBuffer.Limits(100_000, LARGE, LARGE))
        val slow = ask("all/$EVENTS")
        await { brokenOff.get() == 1 }
        awaitReleased()
        val received = read(slow)
        assertThat(received.hasEnd).isFalse()
        assertThat(received.events).isBetween(1, EVENTS - 1)
        assertThat(metrics.scrape())
            .contains("bronzetide_edge_callers_cut_total{limit=\"connection\"} 1.0")
    }

    /** Guards against an account with many slow callers that cuts off those of others. */
    @Example
    fun accountWithManySlowCallersLosesOnlyItsOwn() {
        output = OutputBuffer(OutputBuffer.Limits(LARGE, 20_000_000, LARGE))
        val other = ask("all/$EVENTS", key = "other")
        val crowd = List(5) { ask("all/$EVENTS", key = "crowd") }
        await { finished.get() + brokenOff.get() == 6 && scheduler.runningCount == 0 }
        assertThat(output.heldBytes).isLessThan(40_000_000)
        assertThat(read(ask("all/3", key = "fast"))).isEqualTo(Received(3, hasEnd = true))
        assertThat(read(other)).isEqualTo(Received(EVENTS, hasEnd = true))
        val received = crowd.map { read(it) }
        assertThat(received.count { it.hasEnd }).isBetween(1, 4)
        assertThat(received.filter { it.hasEnd }).containsOnly(Received(EVENTS, hasEnd = true))
        assertThat(metrics.scrape()).contains("limit=\"account\"").doesNotContain("limit=\"total\"")
        awaitReleased()
    }

    /** Guards against bytes that stay held for a caller that has left. */
    @Example
    fun whatIsHeldIsDroppedWhenTheCallerLeaves() {
        val slow = ask("endless/$EVENTS")
        await { output.heldBytes > 5_000_000 }
        slow.close()
        awaitReleased()
    }

    /** Guards against events that are lost with their target, and an end marker after them. */
    @Example
    fun whatIsHeldIsSentWhenTheTargetBreaksOff() {
        val slow = ask("abort/$EVENTS")
        await { output.heldBytes > 5_000_000 && scheduler.runningCount == 0 }
        assertThat(read(slow)).isEqualTo(Received(EVENTS, hasEnd = false))
        awaitReleased()
    }

    /** Guards against events that are repeated or lost when a stream goes on at another target. */
    @Example
    fun resumedStreamFollowsWhatIsHeld() {
        val slow = ask("half/$EVENTS", path = "/resumable/")
        await { finished.get() == 1 && scheduler.runningCount == 0 }
        assertThat(output.heldBytes).isPositive()
        assertThat(read(slow)).isEqualTo(Received(EVENTS, hasEnd = true))
        awaitReleased()
    }

    /** Guards against bytes that stay held, and an end marker, after the caller's deadline. */
    @Example
    fun whatIsHeldIsDroppedAtTheDeadline() {
        val slow = ask("all/$EVENTS", deadlineMs = 1_000)
        await { finished.get() == 1 }
        assertThat(output.heldBytes).isPositive()
        awaitReleased()
        val received = read(slow)
        assertThat(received.hasEnd).isFalse()
        assertThat(received.events).isLessThan(EVENTS)
    }

    /** Guards against a body of a response that a caller keeps in memory by not reading it. */
    @Example
    fun answerIsDroppedWhenItsCallerDoesNotTakeItInTime() {
        val slow = ask("all/1", path = "/large/", deadlineMs = 300)
        await { server.inFlightRequests.count == 1 }
        awaitReleased()
        assertThat(read(slow).hasEnd).isFalse()
    }

    private suspend fun sendEvents(connection: CallerConnection, ids: IntRange) = ids.forEach {
        connection.sendChunk("id: $it\ndata: $PADDING\n\n".encodeToByteArray())
    }

    private fun ask(
        stream: String,
        key: String = "other",
        deadlineMs: Int = 20_000,
        path: String = "/stream/"
    ) = Socket().apply {
        callers += this
        receiveBufferSize = SMALL_BUFFER_BYTES
        soTimeout = 10_000
        connect(InetSocketAddress(IP, server.port))
        val request = "POST $path$stream HTTP/1.1\r\nHost: h\r\nRequest-Id: ${System.nanoTime()}" +
            "\r\nX-Api-Key: $key\r\nDeadline-Ms: $deadlineMs\r\nConnection: close\r\n" +
            "Content-Length: 0\r\n\r\n"
        getOutputStream().write(request.encodeToByteArray())
    }

    /** The events of a stream with consecutive ids, and whether its end marker followed. */
    private data class Received(val events: Int, val hasEnd: Boolean)

    /** Reads a stream to its end, with a pause of [pauseMs] after each [pauseBytes] bytes. */
    private fun read(socket: Socket, pauseMs: Long = 0, pauseBytes: Int = NEVER): Received {
        val bytes = ByteArrayOutputStream()
        val part = ByteArray(65_536)
        var pauses = 1
        try {
            while (true) {
                val count = socket.getInputStream().read(part)
                if (count < 0) break
                bytes.write(part, 0, count)
                if (bytes.size() / pauseBytes >= pauses) {
                    pauses++
                    Thread.sleep(pauseMs)
                }
            }
        } catch (_: IOException) {
            // A stream that was cut may end with a reset.
        }
        val text = bytes.toString(Charsets.ISO_8859_1)
        val ids = EVENT.findAll(text).map { it.groupValues[1].toInt() }.toList()
        assertThat(ids).isEqualTo((1..ids.size).toList())
        return Received(ids.size, text.endsWith("\r\n0\r\n\r\n"))
    }

    private fun awaitReleased() = await {
        output.heldBytes == 0L &&
            scheduler.runningCount == 0 &&
            server.inFlightRequests.count == 0
    }

    private fun await(condition: () -> Boolean) {
        val endNs = System.nanoTime() + 10_000_000_000
        while (!condition()) {
            assertThat(System.nanoTime()).isLessThan(endNs)
            Thread.sleep(5)
        }
    }

    private companion object {
        const val IP = "127.0.0.1"
        const val SLOTS = 20
        const val EVENTS = 1_500
        const val HALF = 750
        const val NEVER = Int.MAX_VALUE
        const val LARGE_ANSWER_BYTES = 4_000_000
        const val SMALL_BUFFER_BYTES = 2_048
        const val LARGE = 100_000_000L
        val PADDING = "x".repeat(8_000)
        val EVENT = Regex("id: (\\d+)\ndata: x{8000}\n\n")
        val MANIFEST = Manifest(
            1,
            listOf(
                route("/stream/", RouteKind.Streaming(isResumable = false, 300)),
                route("/resumable/", RouteKind.Streaming(isResumable = true, 300)),
                route("/large/", RouteKind.NonIdempotent)
            ),
            emptyMap(),
            listOf("other", "crowd", "fast").map {
                Account(it, listOf(it), null, isQuotaInTokens = false, 1, 100.0, 100.0)
            },
            CallerLimits()
        )

        fun route(prefix: String, kind: RouteKind) = Route(
            prefix, "h", prefix, kind, timeoutMs = 20_000, targetLatencyMs = 10_000, priority = 1,
            maxAttempts = 2, isPublic = false, listOf(WeightedService("s", 1.0))
        )
    }
}
