package org.bronzetide.edge.forwarding

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
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

/** Requests that end between the decision to send them and their send. */
class UnsentRequestTest {
    private val processEnd = ProcessEnd()

    /**
     * Guards against requests that are told that they may have run although they were not sent:
     * the end of others frees a slot for them just before it ends them too.
     */
    @Example
    fun requestThatGetsASlotAsTheProcessEndsIsRefused() {
        val arrivals = AtomicInteger()
        val target = StandInServer { request, _, connection ->
            arrivals.incrementAndGet()
            EdgeTestEnvironment.sendSignedResponse(request, connection)
        }
        // The target is looked up between the scheduler's decision and the send.
        val status = target.use { statusBefore(it.port, onLookup = processEnd::end) }
        assertThat(status).isEqualTo(503)
        assertThat(arrivals.get()).isZero()
    }

    /** Guards against the same for a target that cannot be reached before the deadline. */
    @Example
    fun requestThatIsNotConnectedAtItsDeadlineIsRefused() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { target ->
            val backlog = fillBacklog(target.localPort)
            try {
                assertThat(statusBefore(target.localPort)).isEqualTo(503)
            } finally {
                backlog.forEach { it.close() }
            }
        }
    }

    /** Connects until the server at [port], which accepts nothing, drops what arrives. */
    private fun fillBacklog(port: Int): List<Socket> {
        val sockets = ArrayList<Socket>()
        while (true) {
            val socket = Socket()
            sockets += socket
            try {
                socket.connect(InetSocketAddress("127.0.0.1", port), 200)
            } catch (_: IOException) {
                return sockets
            }
        }
    }

    /** The status of a request to a host whose only target listens at [targetPort]. */
    private fun statusBefore(targetPort: Int, onLookup: () -> Unit = {}): Int {
        val entry =
            TargetEntry("t", "s", SocketAddress("127.0.0.1", targetPort), "z1", 4, false, 0)
        val parts = SessionServer.Parts(
            manifest = { MANIFEST },
            findTarget = {
                onLookup()
                entry
            },
            scheduler = FleetScheduler("z1", Random(1)).apply {
                updateTargets(listOf(FleetTarget("t", "s", "z1", 4, isLeaving = false, false)))
            },
            processEnd = processEnd
        )
        return SessionServer(parts = parts).use { ask(it.port) }
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
        /** Its deadline comes before connecting to a target is given up. */
        val ROUTE = Route(
            "a", "h", "/", RouteKind.NonIdempotent, timeoutMs = 200, targetLatencyMs = 100,
            priority = 1, maxAttempts = 1, isPublic = true, listOf(WeightedService("s", 1.0))
        )
        val MANIFEST = Manifest(1, listOf(ROUTE), emptyMap(), emptyList(), CallerLimits())
    }
}
