package org.bronzetide.edge.forwarding

import io.ktor.utils.io.ByteReadChannel
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.http.Framing
import org.bronzetide.http.HeaderList
import org.bronzetide.http.IncomingRequest
import org.bronzetide.http.MessageBody
import org.bronzetide.platform.fleet.RequestMetadata
import org.bronzetide.platform.fleet.Route
import org.bronzetide.platform.fleet.RouteKind

/** The times of requests from callers whose deadlines differ, in a burst or not. */
class CallTest {
    /** Such callers are not late; taken for late, they would yield to all others in a burst. */
    @Example
    fun latencyTargetOfAnImpatientCallerCountsFromTheArrival() {
        val patient = callWithDeadline(deadlineAtMs = 101_000 + 15_000)
        val impatient = callWithDeadline(deadlineAtMs = 101_000 + 12_500)
        assertThat(patient.dueAtMs).isEqualTo(102_000)
        assertThat(impatient.dueAtMs).isEqualTo(102_000)
    }

    private fun callWithDeadline(deadlineAtMs: Long): Call {
        val headers = HeaderList(emptyList())
        val body = MessageBody(ByteReadChannel.Empty, Framing.Length(0))
        return Call(
            1,
            IncomingRequest("POST", "/", headers, body, isKeepAlive = true),
            RequestMetadata.of(headers),
            ByteArray(0),
            route,
            "model",
            expectedEvents = 0,
            account = null,
            manifestVersion = 1,
            arrivedAtMs = 101_000,
            deadlineAtMs
        )
    }

    private val route = Route(
        "r", "host", "/", RouteKind.Idempotent, timeoutMs = 15_000, targetLatencyMs = 1_000,
        priority = 0, maxAttempts = 1, isPublic = false, services = emptyList()
    )
}
