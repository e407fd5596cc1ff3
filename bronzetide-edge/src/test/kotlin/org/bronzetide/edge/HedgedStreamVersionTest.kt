package org.bronzetide.edge

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.Header
import org.bronzetide.http.IncomingRequest
import org.bronzetide.scheduling.fleet.HedgingShare

/**
 * A slow request has two runs at targets of two versions, whose first events arrive in either order
 * or at the same time, and each run breaks off. Guards against a stream that goes on at the version
 * of the run that came second.
 */
class HedgedStreamVersionTest {
    private val environment =
        EdgeTestEnvironment(hedgingShare = checkNotNull(HedgingShare.parseOrNull("1")))

    /** The runs of each slow request so far. */
    private val runs = ConcurrentHashMap<String, AtomicInteger>()

    @AfterTry
    fun close() = environment.close()

    @Example
    fun streamStaysAtTheVersionThatBeganItInAnyOrderOfFirstEvents() {
        listOf("v1", "v2").forEach { version ->
            environment.startTargetOf(version, "$version-t", "model") { request, connection ->
                respond(version, request, connection)
            }
        }
        environment.writeManifest(routes = ROUTE)
        environment.start()
        warmUp()
        FIRST_RUN_MS.forEach { firstRunMs ->
            val headers =
                listOf(Header("X-Api-Key", "key-1"), Header(FIRST_RUN, firstRunMs.toString()))
            val body = environment.ask("/stream/", headers).body
            assertThat(body.lines().filter { it.startsWith("data:") }.toSet()).hasSize(1)
            assertThat(body.lines().count { it.startsWith("id:") }).isEqualTo(LAST_ID)
        }
        assertThat(runs.values.map { it.get() }).allMatch { it >= 3 }
    }

    /** The usual time is known after that, so that slow requests are hedged. */
    private fun warmUp() = runBlocking {
        environment.connect().use { connection ->
            repeat(60) {
                val headers = listOf(Header("X-Api-Key", "key-1"))
                connection.send(environment.request("/stream/", headers))
                connection.receive().body.readAll(1_000)
            }
        }
    }

    /** The first two runs of a slow request break off after two events each. */
    private suspend fun respond(
        version: String,
        request: IncomingRequest,
        connection: CallerConnection
    ): Boolean {
        val firstRunMs = request.headers[FIRST_RUN]?.toLong()
        val run = if (firstRunMs == null) {
            LAST_RUN
        } else {
            runs.computeIfAbsent(request.headers["Request-Id"].orEmpty()) { AtomicInteger() }
                .incrementAndGet()
        }
        val first = 1 + (request.headers["Last-Event-Id"]?.toInt() ?: 0)
        if (run == 1) delay(checkNotNull(firstRunMs))
        EdgeTestEnvironment.startStream(request, connection)
        val ids = if (run < LAST_RUN) first..minOf(first + 1, LAST_ID) else first..LAST_ID
        val events = ids.joinToString("") { "id: $it\ndata: $version\n\n" }
        connection.sendChunk(events.encodeToByteArray())
        if (run < LAST_RUN) return false
        connection.finishResponse()
        return true
    }

    private companion object {
        const val FIRST_RUN = "X-First-Run"
        const val LAST_ID = 6
        const val LAST_RUN = 3
        const val ROUTE = """
            {"name":"stream","host":"h.example","path_prefix":"/stream/","kind":"streaming",
              "timeout_ms":5000,"target_latency_ms":400,"priority":0,"service":"model",
              "max_attempts":5,"resumable":true,"gap_target_ms":300}"""

        /** The hedge is sent and responds at some time among these. */
        val FIRST_RUN_MS = (20L..400L step 20).toList()
    }
}
