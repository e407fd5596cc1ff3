package org.bronzetide.edge

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import java.io.ByteArrayOutputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.Header
import org.bronzetide.http.IncomingRequest
import org.slf4j.LoggerFactory

/**
 * Targets of two versions serve side by side, and the first run of each stream fails after two
 * events. Guards against streams whose events come from two versions.
 */
class StreamVersionTest {
    private val environment = EdgeTestEnvironment()
    private val lines = ListAppender<ILoggingEvent>().apply { list = CopyOnWriteArrayList() }
    private val logger = LoggerFactory.getLogger("decisions") as Logger

    /** The targets that each request was sent to, in order. */
    private val sends = ConcurrentHashMap<String, MutableList<String>>()

    @AfterTry
    fun close() {
        logger.detachAppender(lines)
        environment.close()
    }

    @Example
    fun brokenStreamGoesOnAtItsVersion() {
        start(listOf("v1", "v1", "v2", "v2")) { _, _ -> false }
        repeat(REQUESTS) {
            val (body, isComplete) = receive()
            assertThat(versionsOf(body)).hasSize(1)
            assertThat(idsOf(body)).isEqualTo((1..6).toList())
            assertThat(isComplete).isTrue()
        }
    }

    @Example
    fun repeatAfterABrokenResumedRunGoesToItsVersion() {
        start(listOf("v1", "v1", "v2", "v2"), brokenRuns = 2) { _, _ -> false }
        repeat(REQUESTS) {
            val (body, isComplete) = receive()
            assertThat(versionsOf(body)).hasSize(1)
            assertThat(idsOf(body)).isEqualTo((1..6).toList())
            assertThat(isComplete).isTrue()
        }
        assertThat(sends.values).allMatch { it.size == 3 }
    }

    @Example
    fun silentTargetIsReplacedByOneOfItsVersion() {
        start(listOf("v1", "v1", "v2", "v2")) { _, connection ->
            withTimeout(4_000) { connection.awaitClose() }
            false
        }
        repeat(3) {
            val (body, isComplete) = receive()
            assertThat(versionsOf(body)).hasSize(1)
            assertThat(idsOf(body)).isEqualTo((1..6).toList())
            assertThat(isComplete).isTrue()
        }
    }

    @Example
    fun silentTargetThatIsTheOnlyOneOfItsVersionIsStillListenedTo() {
        start(listOf("v1", "v2")) { request, connection ->
            delay(1_700)
            connection.sendChunk(eventsOf(targetOf(request), 3..6).encodeToByteArray())
            connection.finishResponse()
            true
        }
        val (body, isComplete) = receive()
        assertThat(versionsOf(body)).hasSize(1)
        assertThat(idsOf(body)).isEqualTo((1..6).toList())
        assertThat(isComplete).isTrue()
    }

    @Example
    fun streamWhoseVersionHasLeftEndsCutAndSaysWhy() {
        start(listOf("v1", "v2")) { request, _ ->
            environment.store.remove("servers", targetOf(request))
            delay(1_500)
            false
        }
        logger.addAppender(lines.apply { start() })
        val (body, isComplete) = receive()
        assertThat(idsOf(body)).isEqualTo(listOf(1, 2))
        assertThat(isComplete).isFalse()
        assertThat(sends.values.single()).hasSize(1)
        assertThat(reasonOfEnd()).endsWith("not resumed: no target of the stream's version")
    }

    /** Two targets that state no version need not run the same program. */
    @Example
    fun streamOfATargetThatStatesNoVersionDoesNotGoOnAtAnother() {
        start(listOf(null, null, null)) { request, _ ->
            environment.store.remove("servers", targetOf(request))
            delay(1_500)
            false
        }
        val (body, isComplete) = receive()
        assertThat(idsOf(body)).isEqualTo(listOf(1, 2))
        assertThat(isComplete).isFalse()
    }

    private fun reasonOfEnd(): String? {
        val deadlineNs = System.nanoTime() + 2_000_000_000
        while (System.nanoTime() < deadlineNs) {
            val line = lines.list.find { it.message == "ended" }
            if (line != null) return line.keyValuePairs.find { it.key == "reason" }?.value as String
            Thread.sleep(5)
        }
        return null
    }

    private fun targetOf(request: IncomingRequest) =
        sends.getValue(request.headers["Request-Id"].orEmpty()).last()

    /**
     * Starts a target for each of [versions]. Each of the first [brokenRuns] runs of a request
     * sends two events and then what [fail] does; the next one sends the rest.
     */
    private fun start(
        versions: List<String?>,
        brokenRuns: Int = 1,
        fail: suspend (IncomingRequest, CallerConnection) -> Boolean
    ) {
        versions.forEachIndexed { index, version ->
            val id = "$version-t$index"
            environment.startTargetOf(version, id, "model") { request, connection ->
                val runs = sends.computeIfAbsent(request.headers["Request-Id"].orEmpty()) {
                    CopyOnWriteArrayList()
                }
                runs += id
                val run = runs.size
                val first = 1 + (request.headers["Last-Event-Id"]?.toInt() ?: 0)
                EdgeTestEnvironment.startStream(request, connection)
                val ids = if (run <= brokenRuns) first..first + 1 else first..LAST_ID
                connection.sendChunk(eventsOf(id, ids).encodeToByteArray())
                if (run <= brokenRuns) return@startTargetOf fail(request, connection)
                connection.finishResponse()
                true
            }
        }
        environment.writeManifest(routes = ROUTE)
        environment.start()
    }

    private fun eventsOf(target: String, ids: IntRange): String =
        ids.joinToString("") { "id: $it\ndata: ${target.substringBefore('-')}\n\n" }

    private fun versionsOf(body: String): Set<String> =
        body.lines().filter { it.startsWith("data:") }.toSet()

    private fun idsOf(body: String): List<Int> =
        body.lines().filter { it.startsWith("id:") }.map { it.substringAfter(": ").toInt() }

    /** Returns the body of the response to a stream's request, and whether it was complete. */
    private fun receive(): Pair<String, Boolean> = runBlocking {
        withTimeout(10_000) {
            environment.connect().use { connection ->
                val headers = listOf(Header("X-Api-Key", "key-1"))
                connection.send(environment.request("/stream/", headers))
                val body = connection.receive().body
                val received = ByteArrayOutputStream()
                val isComplete = try {
                    while (true) received.write(body.readAvailable() ?: break)
                    true
                } catch (_: java.io.IOException) {
                    false
                }
                received.toString() to isComplete
            }
        }
    }

    private companion object {
        const val REQUESTS = 8
        const val LAST_ID = 6
        const val ROUTE = """
            {"name":"stream","host":"h.example","path_prefix":"/stream/","kind":"streaming",
              "timeout_ms":5000,"target_latency_ms":400,"priority":0,"service":"model",
              "max_attempts":4,"resumable":true,"gap_target_ms":300}"""
    }
}
