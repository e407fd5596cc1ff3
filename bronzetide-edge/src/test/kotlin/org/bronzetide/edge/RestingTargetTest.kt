package org.bronzetide.edge

import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.http.Header

/**
 * A target turns requests away and wants none for a while. Guards against requests that reach it
 * before that time is over.
 */
class RestingTargetTest {
    private val environment = EdgeTestEnvironment()

    @Volatile
    private var isRefusing = true

    @AfterTry
    fun close() = environment.close()

    @Example
    fun targetThatRestsGetsNoRequestsUntilItsTimeIsOver() {
        startTarget(listOf(Header("Not-Executed", "1"), Header("Retry-After", "1.5")))
        assertThat(environment.ask("/unsafe/").status).isEqualTo(503)
        val restsAtNs = System.nanoTime()
        assertThat(environment.arrivals).hasSize(1)
        isRefusing = false
        val refused = environment.ask("/unsafe/")
        assertThat(refused.status).isEqualTo(503)
        assertThat(refused.headers.getValue("Retry-After").toDouble()).isBetween(0.5, 2.5)
        while (System.nanoTime() - restsAtNs < 1_300_000_000) environment.ask("/unsafe/")
        assertThat(environment.arrivals).hasSize(1)
        Thread.sleep(300)
        assertThat(environment.ask("/unsafe/").status).isEqualTo(200)
    }

    @Example
    fun refusalThatDoesNotPromiseAnythingMayHaveRun() {
        startTarget(listOf(Header("Retry-After", "0.6")))
        assertThat(environment.ask("/unsafe/").status).isEqualTo(502)
    }

    private fun startTarget(refusal: List<Header>) {
        environment.startTarget("t1") { request, connection ->
            if (isRefusing) {
                val id = Header("Request-Id", request.headers["Request-Id"].orEmpty())
                connection.send(503, refusal + id, ByteArray(0))
                true
            } else {
                EdgeTestEnvironment.sendSignedResponse(request, connection)
            }
        }
        environment.writeManifest()
        environment.start()
    }
}
