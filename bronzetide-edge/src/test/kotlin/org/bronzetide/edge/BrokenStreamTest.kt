package org.bronzetide.edge

import java.io.ByteArrayOutputStream
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.Header
import org.bronzetide.http.IncomingRequest

/**
 * A stream has begun and breaks off, and the next target responds with anything but the rest of it.
 * Guards against responses in the middle of a stream and cut streams that look complete.
 */
class BrokenStreamTest {
    private val environment = EdgeTestEnvironment()

    @AfterTry
    fun close() = environment.close()

    @Example
    fun serverErrorIsNotPartOfTheStream() = assertThatStreamStaysCut { _, connection ->
        connection.send(500, listOf(signature), "server error".encodeToByteArray())
    }

    @Example
    fun clientErrorIsNotPartOfTheStream() = assertThatStreamStaysCut { _, connection ->
        connection.send(404, emptyList(), "not found".encodeToByteArray())
    }

    @Example
    fun redirectIsNotPartOfTheStream() = assertThatStreamStaysCut { _, connection ->
        connection.send(302, listOf(Header("Location", "/")), "moved".encodeToByteArray())
    }

    @Example
    fun successWithoutSignatureIsNotPartOfTheStream() = assertThatStreamStaysCut { _, connection ->
        connection.startResponse(200, emptyList())
        connection.sendChunk("id: 3\ndata: foreign\n\n".encodeToByteArray())
        connection.finishResponse()
    }

    @Example
    fun emptyChunkedResponseDoesNotCompleteTheStream() = assertThatStreamStaysCut { _, connection ->
        connection.startResponse(200, listOf(signature))
        connection.finishResponse()
    }

    @Example
    fun emptyResponseWithLengthDoesNotCompleteTheStream() =
        assertThatStreamStaysCut { _, connection ->
            connection.send(200, listOf(signature), ByteArray(0))
        }

    @Example
    fun responseWithoutNewEventsDoesNotCompleteTheStream() =
        assertThatStreamStaysCut { _, connection ->
            connection.startResponse(200, listOf(signature))
            connection.sendChunk(": comment\n\nid: 2\ndata: text 2\n\n".encodeToByteArray())
            connection.finishResponse()
        }

    /** The first send breaks off after two events; [respond] handles all others. */
    private fun assertThatStreamStaysCut(
        respond: suspend (IncomingRequest, CallerConnection) -> Unit
    ) {
        val sends = AtomicInteger()
        repeat(2) { index ->
            environment.startTarget("t$index", "model") { request, connection ->
                val isFirst = sends.incrementAndGet() == 1
                if (isFirst) {
                    connection.startResponse(200, listOf(signature))
                    connection.sendChunk(BEGINNING.encodeToByteArray())
                } else {
                    respond(request, connection)
                }
                !isFirst
            }
        }
        environment.writeManifest()
        environment.start()
        val (body, isComplete) = receive()
        assertThat(body.replace(": comment\n\n", "")).isEqualTo(BEGINNING)
        assertThat(isComplete).isFalse()
        assertThat(sends.get()).isEqualTo(2)
    }

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
        const val BEGINNING = "id: 1\ndata: text 1\n\nid: 2\ndata: text 2\n\n"
        val signature = Header("Response-Signature", "s")
    }
}
