package org.bronzetide.edge

import java.io.IOException
import kotlin.random.Random
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.entry.AdmissionController
import org.bronzetide.edge.entry.CallerSession
import org.bronzetide.edge.entry.InFlightRequests
import org.bronzetide.edge.entry.QuotaCharge
import org.bronzetide.edge.forwarding.RequestForwarder
import org.bronzetide.edge.forwarding.SchedulerAdapter
import org.bronzetide.edge.forwarding.TargetClient
import org.bronzetide.edge.memory.BodyBudget
import org.bronzetide.edge.state.Departures
import org.bronzetide.edge.streams.StreamOrigins
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.ConnectionPool
import org.bronzetide.http.TcpServer
import org.bronzetide.http.TrafficLoop
import org.bronzetide.platform.fleet.Account
import org.bronzetide.platform.fleet.CallerLimits
import org.bronzetide.platform.fleet.Manifest
import org.bronzetide.platform.fleet.Route
import org.bronzetide.platform.fleet.RouteKind
import org.bronzetide.platform.fleet.Service
import org.bronzetide.platform.fleet.SocketAddress
import org.bronzetide.platform.fleet.TargetEntry
import org.bronzetide.platform.fleet.WeightedService
import org.bronzetide.scheduling.fleet.FleetScheduler
import org.bronzetide.scheduling.fleet.FleetTarget
import org.bronzetide.scheduling.fleet.WindowedRetryBudget

/**
 * Sends synthetic requests through the complete request path before the process reports that it is
 * ready, so that the first callers do not wait for classes to load. Caller, target and manifest are
 * synthetic and on loopback; no state is shared with the components that serve callers.
 */
internal class WarmUp(private val loop: TrafficLoop) {
    private val clock = MonotonicClock.System
    private val log = DecisionLog(clock, omitsRequests = true)
    private val metrics = EdgeMetrics()

    /** Sends [requestCount] requests, or fewer if they take longer than [limitMs] milliseconds. */
    suspend fun run(requestCount: Int, limitMs: Long) {
        val target = listen()
        val entry = listen()
        ConnectionPool(loop, clock).use { pool ->
            ControlLoop(clock).use { control ->
                try {
                    withTimeoutOrNull(limitMs) {
                        sendRequests(requestCount, target, entry, pool, control)
                    }
                } catch (cause: IOException) {
                    // The process can serve without a warm-up; its first requests are slower.
                    DecisionLog(clock).failure("warm-up failed", cause)
                } finally {
                    target.close()
                    entry.close()
                }
            }
        }
    }

    private suspend fun sendRequests(
        requestCount: Int,
        target: TcpServer,
        entry: TcpServer,
        pool: ConnectionPool,
        control: ControlLoop
    ) = coroutineScope {
        control.start()
        val targetAddress = SocketAddress(LOOPBACK, target.port)
        val scheduler = FleetScheduler(ZONE, Random.Default)
        control.call {
            scheduler.updateTargets(
                services.map { FleetTarget(it, it, ZONE, SLOTS, false, it == MODEL) }
            )
        }
        val dependencies = sessionDependencies(pool, control, scheduler, targetAddress)
        val servers = launch {
            launchAcceptor(target) { SyntheticTarget.serve(it) }
            launchAcceptor(entry) { CallerSession(it, dependencies).run() }
        }
        val caller = SyntheticCaller(pool, entry.port, HOST, KEY)
        repeat(requestCount) { index ->
            val path = if (index % 2 == 0) SyntheticTarget.STREAM_PATH else PLAIN_PATH
            caller.send(path, LIMIT_MS)
        }
        servers.cancel()
    }

    private fun sessionDependencies(
        pool: ConnectionPool,
        control: ControlLoop,
        scheduler: FleetScheduler,
        address: SocketAddress
    ): CallerSession.Dependencies {
        val forwarder = RequestForwarder(
            SchedulerAdapter(control, clock, scheduler),
            TargetClient(pool, clock, Departures(log) {}, metrics = metrics),
            clock,
            WindowedRetryBudget(1.0, 1.0, LIMIT_MS) { 1 },
            { TargetEntry(it, it, address, ZONE, SLOTS, isLeaving = false, startedAtMs = 0) },
            log,
            metrics,
            StreamOrigins.None
        )
        val admissionController = AdmissionController({ manifest }, NoQuotas, StreamOrigins.None)
        return CallerSession.Dependencies(
            clock,
            admissionController,
            forwarder,
            { CallerLimits() },
            InFlightRequests(),
            BodyBudget.ofHeap(),
            log,
            metrics
        )
    }

    private fun CoroutineScope.launchAcceptor(
        server: TcpServer,
        serve: suspend (CallerConnection) -> Unit
    ) = launch {
        while (true) {
            val connection = CallerConnection(server.accept())
            launch {
                try {
                    serve(connection)
                } catch (cause: CancellationException) {
                    throw cause
                } catch (_: IOException) {
                    // The connection was closed at the end of the warm-up.
                } finally {
                    connection.close()
                }
            }
        }
    }

    private fun listen() = TcpServer(LOOPBACK, 0, loop)

    private object NoQuotas : AdmissionController.AccountQuotas {
        override suspend fun tryConsume(account: Account, charge: QuotaCharge): Long? = null

        override fun refund(account: Account, units: Long) = Unit
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val ZONE = "rehearsal"
        const val HOST = "rehearsal.example"
        const val KEY = "rehearsal"
        const val MODEL = "model"
        const val PLAIN = "plain"
        const val PLAIN_PATH = "/plain/"
        const val SLOTS = 4
        const val LIMIT_MS = 5_000L
        val services = listOf(MODEL, PLAIN)

        val manifest = Manifest(
            1,
            listOf(
                route(SyntheticTarget.STREAM_PATH, RouteKind.Streaming(true, LIMIT_MS), MODEL),
                route(PLAIN_PATH, RouteKind.NonIdempotent, PLAIN)
            ),
            mapOf(MODEL to Service(MODEL, "/", SLOTS, Service.Engine(SLOTS, Long.MAX_VALUE))),
            listOf(Account(ZONE, listOf(KEY), null, true, 1, 0.0, 0.0)),
            CallerLimits()
        )

        fun route(path: String, kind: RouteKind, service: String) = Route(
            path, HOST, path, kind, LIMIT_MS, LIMIT_MS, 0, 1, false,
            listOf(WeightedService(service, 1.0))
        )
    }
}
