package org.bronzetide.edge.streams

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.Member
import org.bronzetide.coordination.MemberState
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.NodeId
import org.bronzetide.edge.peer.LiveHosts
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.edge.state.StoreClientEnvironment
import org.bronzetide.edge.streams.StreamOrigins.Continuation
import org.bronzetide.platform.fleet.CallerLimits
import org.bronzetide.platform.fleet.Manifest
import org.bronzetide.platform.fleet.ObjectKinds
import org.bronzetide.platform.fleet.StreamOriginsEntry
import org.bronzetide.scheduling.fleet.FleetTarget
import org.bronzetide.scheduling.fleet.SoftwareVersion
import org.bronzetide.scheduling.streams.StreamId
import org.bronzetide.scheduling.streams.StreamOrigin

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

    /** Guards against a stream that is refused though its host has stored it before it was lost. */
    @Example
    fun streamOfALostHostGoesOnByWhatItHasStored() = StoreClientEnvironment.test {
        ControlLoop(clock).use { control ->
            control.start()
            val streams = start(control)
            val reading = CoroutineScope(loop + Job())
            streams.start(reading)
            control.call {
                val peer = Member(NodeId("edge-2~1"), "z1", "127.0.0.2", 1, 0, MemberState.ALIVE)
                streams.exchange.updateMembers(listOf(peer))
            }
            advance(STARTED_MS)
            reading.launch {
                while (true) {
                    delay(STEP_MS)
                    advance(STEP_MS)
                }
            }
            assertThat(streams.find("other", listOf(SERVICE)))
                .isInstanceOf(Continuation.Unknown::class.java)
            val id = StreamId.of("r1").value
            val group = StreamOriginsEntry.Group(SERVICE, "2", listOf(id))
            val body = StreamOriginsEntry(listOf(group)).encode().toString()
            standIn.write(ObjectKinds.STREAM_ORIGINS, "edge-2", body)
            assertThat(streams.find("r1", listOf(SERVICE)))
                .isEqualTo(Continuation.At(StreamOrigin(SERVICE, SoftwareVersion("2"))))
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

        /** Longer than a host counts as just started. */
        const val STARTED_MS = 3_000L
        const val STEP_MS = 10L
    }
}
