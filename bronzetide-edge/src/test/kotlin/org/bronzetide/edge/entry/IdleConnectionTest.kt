package org.bronzetide.edge.entry

import java.net.Socket
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.forwarding.RequestForwarder
import org.bronzetide.edge.forwarding.SchedulerAdapter
import org.bronzetide.edge.forwarding.TargetClient
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.ConnectionPool
import org.bronzetide.http.TcpServer
import org.bronzetide.http.TrafficLoop
import org.bronzetide.platform.fleet.Account
import org.bronzetide.platform.fleet.CallerLimits
import org.bronzetide.platform.fleet.Manifest
import org.bronzetide.scheduling.fleet.FleetScheduler
import org.bronzetide.scheduling.fleet.WindowedRetryBudget

/**
 * When idle connections of callers are closed. Guards against requests that were read and whose
 * connection is closed without an answer. Without routes, each request is answered with 404.
 */
class IdleConnectionTest {
    private val clock = MonotonicClock.System
    private val loop = TrafficLoop()
    private val control = ControlLoop(clock)
    private val pool = ConnectionPool(loop, clock)
    private val server = TcpServer("127.0.0.1", 0, loop)
    private val scope = CoroutineScope(SupervisorJob() + loop)
    private val inFlightRequests = InFlightRequests()

    @Volatile
    private var limits = CallerLimits(idleTimeoutMs = 300)

    init {
        scope.launch {
            while (true) {
                val connection = CallerConnection(server.accept())
                launch { CallerSession(connection, dependencies()).run() }
            }
        }
    }

    @AfterTry
    fun close() {
        server.close()
        pool.close()
        control.close()
        loop.close()
    }

    @Example
    fun requestThatArrivesAtTheIdleTimeoutIsAnswered() = connected { socket ->
        Thread.sleep(100)
        blockLoop(400)
        Thread.sleep(50)
        assertThat(statusOf(socket)).isEqualTo("404")
    }

    @Example
    fun requestThatArrivesWhenIdleConnectionsAreClosedForAStopIsAnswered() = connected { socket ->
        blockLoop(200)
        Thread.sleep(50)
        inFlightRequests.closeIdleConnections()
        assertThat(statusOf(socket)).isEqualTo("404")
    }

    @Example
    fun longerIdleTimeoutHoldsForConnectionsThatAreIdle() = connected { socket ->
        Thread.sleep(100)
        limits = CallerLimits(idleTimeoutMs = 5_000)
        Thread.sleep(500)
        assertThat(statusOf(socket)).isEqualTo("404")
    }

    @Example
    fun connectionThatStaysIdleIsClosed() = connected { socket ->
        Thread.sleep(600)
        assertThat(socket.getInputStream().read()).isEqualTo(-1)
    }

    private fun connected(block: (Socket) -> Unit) =
        Socket("127.0.0.1", server.port).use { socket ->
            socket.soTimeout = 5_000
            block(socket)
        }

    /** Keeps the thread of all connections busy, so that what happens meanwhile is seen at once. */
    private fun blockLoop(ms: Long) = loop.dispatch(EmptyCoroutineContext) { Thread.sleep(ms) }

    /** Sends a request and returns the status of the response, or what arrived in its place. */
    private fun statusOf(socket: Socket): String {
        socket.getOutputStream().write("GET /x HTTP/1.1\r\nHost: h\r\n\r\n".encodeToByteArray())
        val line = socket.getInputStream().bufferedReader().readLine() ?: return "closed"
        return line.split(' ')[1]
    }

    private fun dependencies(): CallerSession.Dependencies {
        val log = DecisionLog(clock)
        val metrics = EdgeMetrics()
        val manifest = Manifest(1, emptyList(), emptyMap(), emptyList(), limits)
        val quotas = object : AdmissionController.AccountQuotas {
            override suspend fun tryConsume(account: Account, units: Long): Long? = null

            override fun refund(account: Account, units: Long) = Unit
        }
        val scheduler = SchedulerAdapter(control, clock, FleetScheduler("z1", Random.Default))
        val budget = WindowedRetryBudget(0.0, 0.0, 1_000) { 1 }
        return CallerSession.Dependencies(
            clock,
            AdmissionController({ manifest }, quotas),
            RequestForwarder(
                scheduler,
                TargetClient(pool, clock),
                clock,
                budget,
                { null },
                log,
                metrics
            ),
            { limits },
            inFlightRequests,
            log,
            metrics
        )
    }
}
