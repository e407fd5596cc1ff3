package org.bronzetide.edge

import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.Header
import org.bronzetide.http.IncomingRequest

/** A stream breaks off after its latency target while all targets are full. */
class ResumeUnderLoadTest {
    private val environment = EdgeTestEnvironment()

    @AfterTry
    fun close() = environment.close()

    /** Guards against long streams that are cut for good, as they yield to all new requests. */
    @Example
    fun streamThatBreaksOffIsResumedBeforeNewRequestsAreServed() {
        repeat(2) { environment.startTarget("t$it", "model", ::respond) }
        environment.writeManifest()
        environment.start()
        val body = runBlocking {
            val stream = async { receive("/stream/cut") }
            val others = launch {
                repeat(50) {
                    delay(30)
                    launch { runCatching { receive("/stream/other") } }
                }
            }
            stream.await().also { others.cancel() }
        }
        assertThat(body).isEqualTo(EdgeTestEnvironment.events(1..3))
    }

    /** Breaks the first run of the stream off; other streams take a second. */
    private suspend fun respond(request: IncomingRequest, connection: CallerConnection): Boolean {
        val isCut = request.path == "/stream/cut"
        val isFirstRun = request.headers["Last-Event-Id"] == null
        EdgeTestEnvironment.startStream(request, connection)
        if (!isFirstRun) {
            connection.sendChunk(EdgeTestEnvironment.events(2..3).encodeToByteArray())
        } else {
            repeat(if (isCut) 1 else 5) {
                connection.sendChunk(EdgeTestEnvironment.event(it + 1).encodeToByteArray())
                delay(200)
            }
            if (isCut) {
                delay(600)
                return false
            }
        }
        connection.finishResponse()
        return true
    }

    private suspend fun receive(path: String): String = environment.connect().use { connection ->
        connection.send(environment.request(path, listOf(Header("X-Api-Key", "key-1"))))
        connection.receive().body.readAll(1_000_000).decodeToString()
    }
}
