package org.bronzetide.edge.forwarding

import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.edge.standin.SessionServer
import org.bronzetide.edge.standin.StandInServer
import org.bronzetide.http.ConnectionPool
import org.bronzetide.http.Header
import org.bronzetide.http.OutgoingRequest
import org.bronzetide.http.TrafficLoop
import org.bronzetide.platform.fleet.CallerLimits
import org.bronzetide.platform.fleet.Manifest
import org.bronzetide.platform.fleet.Route
import org.bronzetide.platform.fleet.RouteKind
import org.bronzetide.platform.fleet.SocketAddress
import org.bronzetide.platform.fleet.TargetEntry
import org.bronzetide.platform.fleet.WeightedService
import org.bronzetide.scheduling.fleet.FleetScheduler
import org.bronzetide.scheduling.fleet.FleetTarget

class ProcessEndTest {
    /**
     * Guards against requests that are told that they may have run although they were not sent:
     * the end of others frees a slot for them just before it ends them too.
     */
    @Example
    fun requestThatGetsASlotAsTheProcessEndsIsRefused() {
        val arrivals = AtomicInteger()
        val processEnd = ProcessEnd()
        val target = StandInServer { request, _, connection ->
            arrivals.incrementAndGet()
            EdgeTestEnvironment.sendSignedResponse(request, connection)
        }
        val entry =
            TargetEntry("t", "s", SocketAddress("127.0.0.1", target.port), "z1", 4, false, 0)
        val parts = SessionServer.Parts(
            manifest = { MANIFEST },
            // The target is looked up between the scheduler's decision and the send.
            findTarget = {
                processEnd.end()
                entry
            },
            scheduler = FleetScheduler("z1", Random(1)).apply {
                updateTargets(listOf(FleetTarget("t", "s", "z1", 4, isLeaving = false, false)))
            },
            processEnd = processEnd
        )
        val status = target.use { SessionServer(parts = parts).use { ask(it.port) } }
        assertThat(status).isEqualTo(503)
        assertThat(arrivals.get()).isZero()
    }

    private fun ask(port: Int): Int = runBlocking {
        withTimeout(5_000) {
            TrafficLoop().use { loop ->
                ConnectionPool(loop, MonotonicClock.System).use { pool ->
                    pool.open("127.0.0.1", port).use { connection ->
                        val headers = listOf(Header("Host", "h"), Header("Request-Id", "r"))
                        connection.send(OutgoingRequest("POST", "/a", headers, ByteArray(0)))
                        connection.receive().status
                    }
                }
            }
        }
    }

    private companion object {
        val ROUTE = Route(
            "a", "h", "/", RouteKind.NonIdempotent, timeoutMs = 2_000, targetLatencyMs = 100,
            priority = 1, maxAttempts = 1, isPublic = true, listOf(WeightedService("s", 1.0))
        )
        val MANIFEST = Manifest(1, listOf(ROUTE), emptyMap(), emptyList(), CallerLimits())
    }
}
