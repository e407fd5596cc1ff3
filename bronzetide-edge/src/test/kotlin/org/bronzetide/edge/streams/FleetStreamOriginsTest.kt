package org.bronzetide.edge.streams

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.Member
import org.bronzetide.coordination.MemberState
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.NodeId
import org.bronzetide.edge.peer.PeerMessage
import org.bronzetide.edge.streams.StreamOrigins.Continuation
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.scheduling.fleet.SoftwareVersion
import org.bronzetide.scheduling.streams.ServedVersions
import org.bronzetide.scheduling.streams.StreamOrigin

/** Streams that are recorded and looked up from other threads than the control thread. */
class FleetStreamOriginsTest {
    private val clock = MonotonicClock.System
    private val control = ControlLoop(clock).also { it.start() }
    private val exchange = StreamExchange(
        "h0",
        clock,
        control.timers,
        ServedVersions(),
        DecisionLog(clock, omitsRequests = true),
        send = { _, _ -> }
    )
    private val resolver = resolver(ServedVersions(), exchange)
    private val origins = FleetStreamOrigins(control, exchange, resolver)

    @AfterTry
    fun close() = control.close()

    /** Guards against a take-up that arrives right after the first event and finds nothing. */
    @Example
    fun streamIsFoundRightAfterItsFirstEvent() = runBlocking {
        repeat(1_000) {
            val origin = StreamOrigin("chat", SoftwareVersion("$it"))
            origins.onFirstEvent("r$it", origin)
            val found = origins.find("r$it", listOf("chat"))
            assertThat(found).isEqualTo(Continuation.At(origin))
        }
    }

    /** Guards against a request that waits without an end for hosts that do not reply. */
    @Example
    fun lookupEndsThoughNoHostReplies() = runBlocking<Unit> {
        control.call {
            val id = NodeId.ofNewProcess("h1")
            exchange.updateMembers(listOf(Member(id, "z1", "127.0.0.1", 1, 0, MemberState.ALIVE)))
        }
        val found = withTimeout(LIMIT_MS) { origins.find("r1", listOf("chat")) }
        assertThat(found).isInstanceOf(Continuation.Unknown::class.java)
    }

    /** Guards against a request that waits without an end as a message could not be sent. */
    @Example
    fun lookupEndsThoughWhatFollowsAReplyFails() = runBlocking<Unit> {
        lateinit var failing: StreamExchange
        val versions = ServedVersions()
        failing = StreamExchange(
            "h0",
            clock,
            control.timers,
            versions,
            DecisionLog(clock, omitsRequests = true),
            send = { ip, message ->
                if (message !is PeerMessage.StreamQuery) error("cannot be sent")
                val seen = listOf("1", "2").map { PeerMessage.SeenVersion(it, 0) }
                val found = PeerMessage.ServiceVersions("chat", seen, isSettled = true)
                val reply = PeerMessage.StreamReply(message.query, services = listOf(found))
                control.post { failing.onReply(reply, ip) }
            }
        )
        control.call {
            val id = NodeId.ofNewProcess("h1")
            failing.updateMembers(listOf(Member(id, "z1", "127.0.0.1", 1, 0, MemberState.ALIVE)))
        }
        val failingResolver = resolver(versions, failing)
        val subject = FleetStreamOrigins(control, failing, failingResolver)
        val found = withTimeout(LIMIT_MS) { subject.find("r1", listOf("chat")) }
        assertThat(found).isInstanceOf(Continuation.Unknown::class.java)
    }

    private fun resolver(versions: ServedVersions, exchange: StreamExchange) = StreamResolver(
        clock,
        versions,
        exchange,
        DecisionLog(clock, omitsRequests = true),
        { false },
        { false },
        true,
        { it(false) },
        { _, _, onResult -> onResult(StoredOrigins.Found.Unavailable) }
    )

    private companion object {
        const val LIMIT_MS = 5_000L
    }
}
