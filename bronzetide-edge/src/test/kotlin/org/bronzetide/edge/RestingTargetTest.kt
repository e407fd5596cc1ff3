package org.bronzetide.edge

import java.util.concurrent.CopyOnWriteArrayList
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

    /** When requests reached the target, in milliseconds on a steady clock. */
    private val arrivalsMs = CopyOnWriteArrayList<Double>()

    @AfterTry
    fun close() = environment.close()

    @Example
    fun targetThatRestsGetsNoRequestsUntilItsTimeIsOver() {
        startTarget(listOf(Header("Not-Executed", "1"), Header("Retry-After", "1.5")))
        assertThat(environment.ask("/unsafe/").status).isEqualTo(503)
        isRefusing = false
        val refused = environment.ask("/unsafe/")
        assertThat(refused.status).isEqualTo(503)
        assertThat(refused.headers.getValue("Retry-After").toDouble()).isBetween(0.5, 2.5)
        // Times are in whole milliseconds, so the rest may end up to one earlier.
        while (msSinceFirstArrival() < 1_300) environment.ask("/unsafe/")
        while (msSinceFirstArrival() < 1_600) Thread.sleep(10)
        assertThat(environment.ask("/unsafe/").status).isEqualTo(200)
        assertThat(arrivalsMs.drop(1)).isNotEmpty().allMatch { it - arrivalsMs.first() >= 1_499 }
    }

    @Example
    fun refusalThatDoesNotPromiseAnythingMayHaveRun() {
        startTarget(listOf(Header("Retry-After", "0.6")))
        assertThat(environment.ask("/unsafe/").status).isEqualTo(502)
    }

    private fun msSinceFirstArrival() = System.nanoTime() / 1e6 - arrivalsMs.first()

    private fun startTarget(refusal: List<Header>) {
        environment.startTarget("t1") { request, connection ->
            arrivalsMs += System.nanoTime() / 1e6
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
