package org.bronzetide.edge.streams

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.NodeId
import org.bronzetide.edge.peer.LiveHosts
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.edge.state.StoreClientEnvironment
import org.bronzetide.edge.streams.StreamOrigins.Continuation
import org.bronzetide.platform.fleet.CallerLimits
import org.bronzetide.platform.fleet.Manifest
import org.bronzetide.scheduling.fleet.FleetTarget

/** Take-ups at a host that has just started and is still reading the store. */
class StreamControlTest {
    /** Guards against a caller that is told to begin anew, though the store may name its stream. */
    @Example
    fun takeUpWaitsForTheStoreForALimitedTimeAndMayComeBack() = StoreClientEnvironment.test {
        standIn.intercept = { request, execute ->
            if ("stream-origins" in request.path) awaitCancellation()
            execute()
        }
        ControlLoop(clock).use { control ->
            control.start()
            val streams = start(control)
            val reading = CoroutineScope(loop + Job())
            streams.start(reading)
            val startedAtMs = MonotonicClock.System.nowMs()
            val found = streams.find("r1", listOf(SERVICE))
            assertThat(MonotonicClock.System.nowMs() - startedAtMs).isLessThan(1_000)
            assertThat(found).isInstanceOf(Continuation.Unknown::class.java)
            assertThat((found as Continuation.Unknown).retryAfterMs).isNotNull()
            reading.cancel()
        }
    }

    private suspend fun StoreClientEnvironment.start(control: ControlLoop): StreamControl {
        val self = NodeId.ofNewProcess("edge-1")
        val streams = StreamControl(
            EdgeTestEnvironment.settings(standIn.port),
            control,
            clock,
            client(),
            log,
            metrics,
            sendToPeer = { _, _ -> },
            liveHosts = { LiveHosts(self, emptyList()) },
            hostCount = { 1 }
        )
        val routes = listOf(RouteServicesTest.route("/", SERVICE))
        val targets = listOf("1", "2").map {
            FleetTarget("t$it", SERVICE, "z1", 8, false, isEngine = true, version = it)
        }
        control.call {
            streams.onManifest(Manifest(1, routes, emptyMap(), emptyList(), CallerLimits()))
            streams.onTargets(targets, clock.nowMs())
        }
        return streams
    }

    private companion object {
        const val SERVICE = "chat"
    }
}
