package org.bronzetide.edge.forwarding

import java.io.IOException
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.http.ConnectionPool
import org.bronzetide.http.Header
import org.bronzetide.http.HttpConnection
import org.bronzetide.http.IncomingResponse
import org.bronzetide.http.OutgoingRequest
import org.bronzetide.platform.fleet.PlatformHeaders
import org.bronzetide.platform.fleet.RouteKind
import org.bronzetide.platform.fleet.TargetEntry
import org.bronzetide.scheduling.fleet.FleetOutcome

/**
 * Sends one request to one target and reads its answer.
 *
 * A connection is used again only after an answer was read to its end. An abandoned one is closed,
 * by which the target learns that nobody waits any more.
 */
internal class TargetClient(private val pool: ConnectionPool, private val clock: MonotonicClock) {
    /** How one send went, for the scheduler. */
    class Attempt(val result: SendResult, val outcome: FleetOutcome, val msPerEvent: Double = 0.0)

    /** Sends [call] to [target], going on after the events that [relay] has passed on. */
    suspend fun send(
        call: Call,
        target: TargetEntry,
        relay: StreamRelay,
        patience: StallPolicy
    ): Attempt {
        val connection = try {
            connect(call, target)
        } catch (cause: java.net.ConnectException) {
            return Attempt(SendResult.NotRun("refused connection"), FleetOutcome.GONE)
        } catch (cause: IOException) {
            return Attempt(
                SendResult.NotRun("unreachable: ${cause.message}"),
                FleetOutcome.UNREACHABLE
            )
        }
        var isKept = false
        try {
            connection.send(outgoing(call, target, relay))
            val answer = receiveOwn(call, connection, patience)
            val sent = read(call, answer, relay, patience)
            if (answer.body.isComplete && !isEarlyAnswer(call, answer)) {
                pool.release(target.address.host, target.address.port, connection, answer)
                isKept = true
            }
            return sent
        } catch (cause: TargetStalledException) {
            return Attempt(SendResult.MayHaveRun(cause.message.orEmpty()), FleetOutcome.FAILED)
        } catch (cause: IOException) {
            pool.evict(target.address.host, target.address.port)
            return Attempt(
                SendResult.MayHaveRun("broke off: ${cause.message}"),
                FleetOutcome.FAILED
            )
        } finally {
            if (!isKept) connection.close()
        }
    }

    private suspend fun connect(call: Call, target: TargetEntry): HttpConnection {
        val address = target.address
        // An idle connection may be gone unnoticed, and what was sent on it cannot be sent again.
        return if (call.route.kind.isSafeToRetry) {
            pool.acquire(address.host, address.port)
        } else {
            pool.acquireFresh(address.host, address.port)
        }
    }

    private fun outgoing(call: Call, target: TargetEntry, relay: StreamRelay): OutgoingRequest {
        val leftMs = (call.deadlineAtMs - clock.nowMs()).coerceAtLeast(1)
        val resumesAfter = relay.lastEventId
        val headers = call.request.headers.endToEnd().filterTo(ArrayList()) {
            it.name.lowercase() !in PlatformHeaders.reservedHeaders &&
                (resumesAfter == null || !it.name.equals(PlatformHeaders.LAST_EVENT_ID, true))
        }
        headers += Header(PlatformHeaders.DEADLINE_MS, leftMs.toString())
        headers += Header(PlatformHeaders.EXPECTED_TARGET, target.id)
        call.account?.let { headers += Header(PlatformHeaders.ACCOUNT, it.name) }
        resumesAfter?.let { headers += Header(PlatformHeaders.LAST_EVENT_ID, it.toString()) }
        return OutgoingRequest(call.request.method, call.request.requestTarget, headers, call.body)
    }

    /** The answer to [call]; late answers to earlier requests on the connection are passed over. */
    private suspend fun receiveOwn(
        call: Call,
        connection: HttpConnection,
        patience: StallPolicy
    ): IncomingResponse {
        repeat(MAX_STRAY_ANSWERS) {
            val answer = patience.await(isFirst = true) { connection.receive() }
            val id = answer.headers[PlatformHeaders.REQUEST_ID]
            if (id == null || call.requestId == null || id == call.requestId) return answer
            answer.body.readAll(MAX_ANSWER_BYTES)
        }
        throw IOException("answers to other requests")
    }

    private suspend fun read(
        call: Call,
        answer: IncomingResponse,
        relay: StreamRelay,
        patience: StallPolicy
    ): Attempt {
        val isRefusal =
            answer.status == MISDIRECTED || answer.headers[PlatformHeaders.NOT_EXECUTED] != null
        if (isRefusal) {
            answer.body.readAll(MAX_ANSWER_BYTES)
            val outcome =
                if (answer.status == MISDIRECTED) FleetOutcome.GONE else FleetOutcome.REFUSED
            return Attempt(SendResult.NotRun("target refused, ${answer.status}"), outcome)
        }
        if (call.route.kind is RouteKind.Streaming && answer.status in 200..299) {
            if (answer.headers[PlatformHeaders.SIGNATURE] == null) {
                throw IOException("stream without signature")
            }
            val msPerEvent = relay.relay(answer, patience)
            return Attempt(SendResult.Streamed, FleetOutcome.ANSWERED, msPerEvent)
        }
        return readWhole(answer)
    }

    private suspend fun readWhole(answer: IncomingResponse): Attempt {
        val body = answer.body.readAll(MAX_ANSWER_BYTES)
        val isForeign =
            answer.status in 200..299 && answer.headers[PlatformHeaders.SIGNATURE] == null
        if (isForeign) throw IOException("success without signature")
        // Passed on, such a status would promise that the request did not run.
        if (answer.status in refusals) throw IOException("refusal without promise")
        val isFailure = answer.status >= SERVER_FAILURE
        return Attempt(
            SendResult.Answer(answer.status, answer.headers.endToEnd(), body),
            if (isFailure) FleetOutcome.ERROR else FleetOutcome.ANSWERED
        )
    }

    /** Whether the target may still read the body although it has answered. */
    private fun isEarlyAnswer(call: Call, answer: IncomingResponse): Boolean =
        call.body.size > SMALL_BODY_BYTES && answer.status >= CLIENT_FAILURE

    private companion object {
        const val MISDIRECTED = 421
        val refusals = setOf(408, 429, 503)
        const val CLIENT_FAILURE = 400
        const val SERVER_FAILURE = 500
        const val MAX_STRAY_ANSWERS = 3

        /** Answers that are not streamed are small; a megabyte bounds a target that errs. */
        const val MAX_ANSWER_BYTES = 4_194_304

        /** Less than the socket buffers hold, so that it has left by the time of an answer. */
        const val SMALL_BODY_BYTES = 2_048
    }
}
