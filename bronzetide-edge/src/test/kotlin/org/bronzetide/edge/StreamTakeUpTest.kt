package org.bronzetide.edge

import java.io.ByteArrayOutputStream
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.http.Header
import org.bronzetide.http.HttpConnection
import org.bronzetide.http.OutgoingRequest

/**
 * Targets of two versions serve side by side, each run sends two events and breaks off, and callers
 * take their streams up by requests of their own. Guards against streams whose events come from two
 * versions.
 */
class StreamTakeUpTest {
    private val environment =
        EdgeTestEnvironment(bounds = "bounds.retry_slack=56\nbootstrap=true")

    /** The version of each target's runs, by the id of the request. */
    private val runs = ConcurrentHashMap<String, String>()

    private var requestCount = 0

    @AfterTry
    fun close() = environment.close()

    @Example
    fun streamThatIsTakenUpAgainAndAgainStaysAtItsVersion() {
        start("v1", "v1", "v2", "v2")
        repeat(8) {
            val first = receive()
            val second = receive(lastEventId = 2, first.id)
            val third = receive(lastEventId = 4, first.id)
            assertThat(listOf(first, second, third).map { it.status }).containsOnly(200)
            assertThat(first.body + second.body + third.body)
                .isEqualTo(EdgeTestEnvironment.events(1..6))
            assertThat(setOf(first, second, third).map { runs[it.id] }.toSet()).hasSize(1)
        }
    }

    @Example
    fun unknownStreamIsRefusedAsNotRunWhileTwoVersionsServe() {
        start("v1", "v2")
        listOf("unknown", null).forEach {
            val response = receive(lastEventId = 2, it)
            assertThat(response.status).isEqualTo(503)
            assertThat(response.retryAfter).isNull()
        }
        assertThat(runs).isEmpty()
        assertThat(receive().status).isEqualTo(200)
    }

    @Example
    fun streamsOfRequestsWithoutAnIdAreNotTakenForOneAnother() {
        start("v1", "v2")
        repeat(4) { assertThat(receive(id = "").status).isEqualTo(200) }
        val served = runs.size
        listOf("", " ").forEach {
            assertThat(receive(lastEventId = 2, resumes = it).status).isEqualTo(503)
        }
        assertThat(runs).hasSize(served)
    }

    @Example
    fun unknownStreamGoesOnWhileOneVersionServes() {
        start("v1", "v1")
        assertThat(receive(lastEventId = 2, "unknown").body).startsWith("id: 3")
    }

    @Example
    fun streamWhoseVersionHasLeftIsRefusedAsNotRunForGood() {
        start("v1", "v2")
        val first = receive()
        environment.store.remove("servers", targetOf(runs.getValue(first.id)))
        Thread.sleep(1_500)
        val second = receive(lastEventId = 2, first.id)
        assertThat(second.status).isEqualTo(503)
        assertThat(second.retryAfter).isNull()
        assertThat(runs.keys).containsExactly(first.id)
    }

    private fun start(vararg versions: String) {
        versions.forEachIndexed { index, version ->
            val id = if (version in versions.take(index)) "$version-$index" else targetOf(version)
            environment.startTargetOf(version, id, "model") { request, connection ->
                runs[request.headers["Request-Id"].orEmpty()] = version
                val first = 1 + (request.headers["Last-Event-Id"]?.toInt() ?: 0)
                EdgeTestEnvironment.startStream(request, connection)
                val events = EdgeTestEnvironment.events(first..first + 1)
                connection.sendChunk(events.encodeToByteArray())
                false
            }
        }
        environment.writeManifest(routes = ROUTE)
        environment.start()
    }

    private fun targetOf(version: String) = "$version-first"

    private class Received(
        val id: String,
        val status: Int,
        val retryAfter: String?,
        val body: String
    )

    private fun receive(
        lastEventId: Int? = null,
        resumes: String? = null,
        id: String = "r${++requestCount}"
    ): Received = runBlocking {
        val headers = listOfNotNull(
            Header("X-Api-Key", "key-1"),
            lastEventId?.let { Header("Last-Event-Id", it.toString()) },
            resumes?.let { Header("Resumes", it) }
        )
        val request = environment.request("/stream/", headers).run {
            val others = this.headers.filter { it.name != "Request-Id" }
            OutgoingRequest(method, requestTarget, others + Header("Request-Id", id), body)
        }
        withTimeout(10_000) {
            environment.connect().use { connection ->
                connection.send(request)
                receive(id, connection)
            }
        }
    }

    private suspend fun receive(id: String, connection: HttpConnection): Received {
        val response = connection.receive()
        val received = ByteArrayOutputStream()
        try {
            while (true) received.write(response.body.readAvailable() ?: break)
        } catch (_: java.io.IOException) {
            // The stream is cut on purpose.
        }
        return Received(id, response.status, response.headers["Retry-After"], received.toString())
    }

    private companion object {
        const val ROUTE = """
            {"name":"stream","host":"h.example","path_prefix":"/stream/","kind":"streaming",
              "timeout_ms":5000,"target_latency_ms":400,"priority":0,"service":"model",
              "max_attempts":1,"resumable":true,"gap_target_ms":300}"""
    }
}
