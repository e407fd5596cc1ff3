package org.bronzetide.edge

import kotlinx.coroutines.delay
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.http.CallerConnection

/** Targets whose streams never end: trickling bytes, an event without an end, only comments. */
class EndlessStreamTest {
    private val environment = EdgeTestEnvironment()

    @AfterTry
    fun close() = environment.close()

    @Example
    fun streamThatTricklesBytesResumesAtAnotherTarget() =
        assertThatStreamResumes("id: 3\ndata: ") { connection ->
            delay(100)
            connection.sendChunk("x".encodeToByteArray())
        }

    @Example
    fun streamThatSendsOnlyCommentsResumesAtAnotherTarget() = assertThatStreamResumes("") {
        delay(100)
        it.sendChunk(": still here\n\n".encodeToByteArray())
    }

    @Example
    fun streamThatRepeatsItsLastEventResumesAtAnotherTarget() = assertThatStreamResumes("") {
        delay(100)
        it.sendChunk(EdgeTestEnvironment.event(2).encodeToByteArray())
    }

    @Example
    fun eventWithoutEndResumesAtAnotherTarget() = assertThatStreamResumes("id: 3\ndata: ") {
        it.sendChunk(ByteArray(16_384) { 'x'.code.toByte() })
    }

    private fun assertThatStreamResumes(
        begin: String,
        sendFiller: suspend (CallerConnection) -> Unit
    ) {
        repeat(2) { index ->
            environment.startTarget("t$index", "model") { request, connection ->
                if (request.headers["Last-Event-Id"] == null) {
                    EdgeTestEnvironment.startStream(request, connection)
                    connection.sendChunk(
                        (
                            EdgeTestEnvironment.event(1) +
                                EdgeTestEnvironment.event(2) +
                                begin
                            ).encodeToByteArray()
                    )
                    while (true) sendFiller(connection)
                }
                EdgeTestEnvironment.startStream(request, connection)
                (3..4).forEach {
                    connection.sendChunk(EdgeTestEnvironment.event(it).encodeToByteArray())
                }
                connection.finishResponse()
                true
            }
        }
        environment.writeManifest()
        environment.start()
        val response = environment.ask("/stream/")
        assertThat(response.body.replace(": still here\n\n", ""))
            .isEqualTo(EdgeTestEnvironment.events(1..4))
        assertThat(environment.arrivals).hasSize(2)
    }
}
