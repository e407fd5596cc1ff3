package org.bronzetide.edge

import java.util.concurrent.ConcurrentLinkedQueue
import kotlinx.coroutines.delay
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.Header

/**
 * Targets that send a response which belongs to no request, late, on a connection that carries the
 * next one.
 */
class LateResponseTest {
    private val environment = EdgeTestEnvironment()
    private val connections = ConcurrentLinkedQueue<CallerConnection>()

    @AfterTry
    fun close() = environment.close()

    /** Guards against requests that run twice, or are refused although they run. */
    @Example
    fun refusalWithoutIdOnAUsedConnectionIsNotBelieved() =
        assertThatLateResponseIsSkipped { it.send(503, NOT_EXECUTED, ByteArray(0)) }

    /** Guards against the same by the status that always promises. */
    @Example
    fun misdirectionWithoutIdOnAUsedConnectionIsNotBelieved() =
        assertThatLateResponseIsSkipped { it.send(421, emptyList(), ByteArray(0)) }

    /** Guards against a caller that gets the response to another request. */
    @Example
    fun successWithoutIdOnAUsedConnectionIsNotRelayed() = assertThatLateResponseIsSkipped {
        it.send(200, listOf(Header("Response-Signature", "s")), "foreign".encodeToByteArray())
    }

    /** Guards against a refusal with two ids, one of which is right. */
    @Example
    fun refusalWithTwoIdsIsNotBelieved() = assertThatLateResponseIsSkipped {
        val id = environment.arrivals.last().headers["Request-Id"].orEmpty()
        val ids = listOf(Header("Request-Id", id), Header("Request-Id", "other"))
        it.send(503, NOT_EXECUTED + ids, ByteArray(0))
    }

    /**
     * The second of two requests on a connection gets its own response after [sendLate]'s. A
     * connection that was idle for too long is not used for the next request, which starts anew.
     */
    private fun assertThatLateResponseIsSkipped(sendLate: suspend (CallerConnection) -> Unit) {
        environment.startTarget("t1") { request, connection ->
            val isReused = connection in connections
            connections += connection
            if (isReused) {
                sendLate(connection)
                delay(200)
            }
            EdgeTestEnvironment.sendSignedResponse(request, connection)
        }
        environment.writeManifest()
        environment.start()
        var count = 0
        while (connections.distinct().size == connections.size && count < MAX_REQUESTS) {
            count++
            val response = environment.ask("/unsafe/")
            assertThat(response.status).isEqualTo(200)
            assertThat(response.body).isEqualTo("answer")
        }
        assertThat(connections).hasSize(count)
        assertThat(connections.distinct()).hasSize(count - 1)
    }

    private companion object {
        const val MAX_REQUESTS = 20
        val NOT_EXECUTED = listOf(Header("Not-Executed", "1"))
    }
}
