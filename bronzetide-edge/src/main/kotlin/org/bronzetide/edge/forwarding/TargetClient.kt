package org.bronzetide.edge.forwarding

import java.io.IOException
import java.net.ConnectException
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.memory.ResponseMemory
import org.bronzetide.edge.relay.RelayClient
import org.bronzetide.edge.relay.RelayProtocol
import org.bronzetide.edge.relay.TargetPaths.Path
import org.bronzetide.edge.state.Departures
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.http.CallerConnectionException
import org.bronzetide.http.ConnectionPool
import org.bronzetide.http.Header
import org.bronzetide.http.HttpConnection
import org.bronzetide.http.IncomingResponse
import org.bronzetide.http.OutgoingRequest
import org.bronzetide.platform.fleet.PlatformHeaders
import org.bronzetide.platform.fleet.RouteKind
import org.bronzetide.platform.fleet.TargetEntry
import org.bronzetide.platform.fleet.TargetReport
import org.bronzetide.scheduling.fleet.FleetOutcome

/**
 * Sends one request to one target and reads the response, in two steps: a target that is to replace
 * a silent one takes over when it has begun to respond.
 *
 * Which response belongs to a send is decided by [ResponseRule], and whether it is whole by
 * [TargetExchange]; others are skipped. A connection
 * is reused only after a response was read to its end, and never for the same request again. An
 * abandoned connection is closed, which tells the target that the response is no longer needed.
 */
internal class TargetClient(
    private val pool: ConnectionPool,
    private val clock: MonotonicClock,
    private val departures: Departures,
    /** The memory of the responses in progress. */
    val memory: ResponseMemory = ResponseMemory.ofHeap(),
    metrics: EdgeMetrics = EdgeMetrics(),
    /** `null` if no other host may relay. */
    private val relays: RelayClient? = null
) {
    private val exchange =
        TargetExchange(pool, metrics) { target, cause -> relays?.onConnectFailed(target, cause) }

    /**
     * The result of one send, with the outcome and the average milliseconds between events for the
     * scheduler; [msPerEvent] is 0 if it is not known.
     */
    class Attempt(val result: SendResult, val outcome: FleetOutcome, val msPerEvent: Double = 0.0)

    /** The beginning of a send. */
    sealed class Beginning {
        /** The target has begun to respond; [complete] reads the rest, unless it is closed. */
        class Responding(
            val target: TargetEntry,
            val connection: HttpConnection,
            val response: IncomingResponse,
            /** The relay that the response comes from, or `null` if it comes directly. */
            val relayed: RelayClient.Relayed? = null
        ) : Beginning(),
            AutoCloseable {
            /** Whether the response is a success, and the target's own. */
            val isSuccess: Boolean get() = response.isSuccess && response.isSigned

            /**
             * Waits until the body has begun to arrive and returns whether it has; closes the
             * connection otherwise.
             */
            suspend fun awaitBody(): Boolean {
                var hasBegun = false
                try {
                    hasBegun = connection.awaitInput()
                } catch (_: IOException) {
                    // The same as an end without a body.
                } finally {
                    if (!hasBegun) close()
                }
                return hasBegun
            }

            override fun close() = relayed?.close() ?: connection.close()
        }

        /** The send has ended without a response to read. */
        class Ended(
            val attempt: Attempt,
            /** Whether nothing was sent, as no relay has connected to the target. */
            val isUnsentByRelays: Boolean = false
        ) : Beginning()
    }

    /** Gets the progress of a send, and what targets say besides the response to the request. */
    interface Observer {
        /** The request is about to be written; until then this send has not reached its target. */
        fun onSend()

        /** The request has not reached the target after all, and may be about to be sent anew. */
        fun onUnsent()

        /** The head of the response told [report] about its target. */
        fun onReport(report: TargetReport)

        /** A response with [status] and the id [requestId] was skipped as not the request's own. */
        fun onForeignResponse(status: Int, requestId: String?)
    }

    /** Returns how a request to [target] is sent at present, for display. */
    fun pathTo(target: TargetEntry): String =
        (relays?.pathTo(target) ?: Path.DIRECT_ONLY).name.lowercase()

    /**
     * Sends [call] to [target] and waits for the head of the response. A stream is resumed after
     * the event [resumeAfterId], if there is one.
     */
    suspend fun begin(
        call: Call,
        target: TargetEntry,
        resumeAfterId: Long?,
        stallPolicy: StallPolicy,
        observer: Observer
    ): Beginning {
        val path = relays?.pathTo(target) ?: Path.DIRECT_ONLY
        if (relays != null && (path == Path.RELAYED || path == Path.DOUBTFUL)) {
            val beginning = relay(relays, call, target, resumeAfterId, stallPolicy, observer)
            // Without a relay, a direct connection may succeed again.
            if (!beginning.isUnsentByRelays || relays.hasJustFailed(target)) return beginning
        }
        val connection = try {
            connect(call, target)
        } catch (cause: IOException) {
            relays?.onConnectFailed(target, cause)
            val failure = Beginning.Ended(unconnected(target, cause))
            if (relays == null || path != Path.DIRECT) return failure
            // Nothing was sent, so the same send goes on by way of another host.
            val beginning = relay(relays, call, target, resumeAfterId, stallPolicy, observer)
            return if (beginning.isUntold) failure else beginning
        }
        if (target in departures) {
            connection.close()
            val result = SendResult.NotRun("target is leaving")
            return Beginning.Ended(Attempt(result, FleetOutcome.UNSENT))
        }
        var isOpen = false
        try {
            observer.onSend()
            connection.send(outgoing(call, target, resumeAfterId))
            val response = stallPolicy.await(isFirst = true) {
                watchSilence(target) {
                    exchange.receiveOwn(connection, call.requestId, observer::onForeignResponse)
                }
            }
            relays?.onHeard(target)
            val beginning = Beginning.Responding(target, connection, response)
            val refusal = readReport(call, beginning, observer)
            isOpen = true
            return refusal ?: beginning
        } catch (cause: IOException) {
            return Beginning.Ended(brokenOff(target, cause))
        } finally {
            if (!isOpen) connection.close()
        }
    }

    private suspend fun <T> watchSilence(target: TargetEntry, block: suspend () -> T): T =
        relays?.watchSilence(target, block) ?: block()

    /**
     * Reads what the head of [beginning] tells about its target. Returns the end of the send if the
     * response is a refusal, which is read to its end then.
     */
    private suspend fun readReport(
        call: Call,
        beginning: Beginning.Responding,
        observer: Observer
    ): Beginning.Ended? {
        val response = beginning.response
        val report = TargetReport.of(response.status, response.headers)
        if (report.isLeaving) departures.mark(beginning.target)
        observer.onReport(report)
        if (!ResponseRule.isRefusal(response) && report.restMs == null) return null
        val attempt = readRefusal(response)
        if (!tryRelease(call, beginning)) beginning.close()
        return Beginning.Ended(attempt)
    }

    /** The attempt that ends as no connection to [target] could be made. */
    private fun unconnected(target: TargetEntry, cause: IOException): Attempt {
        val isRefused = cause is ConnectException
        val reason = if (isRefused) "refused connection" else "unreachable: ${cause.message}"
        val outcome = when {
            // The target has no part in what separates this host from all of them.
            relays?.isInDoubt(target) == true -> FleetOutcome.UNSENT
            isRefused -> FleetOutcome.GONE
            else -> FleetOutcome.UNREACHABLE
        }
        return Attempt(SendResult.NotRun(reason), outcome)
    }

    /** Sends [call] to [target] by way of another host. */
    private suspend fun relay(
        relays: RelayClient,
        call: Call,
        target: TargetEntry,
        resumeAfterId: Long?,
        stallPolicy: StallPolicy,
        observer: Observer
    ): Beginning {
        if (target in departures) return unsent("target is leaving")
        val exchange = object : RelayClient.Exchange {
            override val target = target
            override val requestId = call.requestId
            override val isSafeToRetry = call.route.kind.isSafeToRetry

            override fun request() = outgoing(call, target, resumeAfterId)

            override fun onSend() = observer.onSend()

            override fun onUnsent() = observer.onUnsent()

            override suspend fun await(receive: suspend () -> IncomingResponse) =
                stallPolicy.await(isFirst = true, receive)
        }
        val sent = try {
            relays.send(exchange)
        } catch (cause: TargetStalledException) {
            return Beginning.Ended(brokenOff(target, cause))
        }
        return when (sent) {
            is RelayClient.Sent.Responding -> begin(call, target, sent, observer)

            is RelayClient.Sent.Failed -> {
                val outcome = if (sent.hasCrashed) FleetOutcome.CRASHED else FleetOutcome.FAILED
                Beginning.Ended(Attempt(SendResult.MayHaveRun(sent.reason), outcome))
            }

            // The target is not to blame for the relay.
            is RelayClient.Sent.Lost ->
                Beginning.Ended(
                    Attempt(SendResult.MayHaveRun(sent.reason), FleetOutcome.CANCELLED)
                )

            is RelayClient.Sent.NotSent -> when (sent.result) {
                null -> unsent(NO_RELAY)

                RelayProtocol.Result.REFUSED -> unsent("refused connection", FleetOutcome.GONE)

                RelayProtocol.Result.UNREACHABLE -> unsent("unreachable", FleetOutcome.UNREACHABLE)

                else -> unsent("relay: ${sent.result.text}")
            }
        }
    }

    private suspend fun begin(
        call: Call,
        target: TargetEntry,
        sent: RelayClient.Sent.Responding,
        observer: Observer
    ): Beginning {
        val relayed = sent.relayed
        val beginning =
            Beginning.Responding(target, relayed.connection, sent.response, relayed)
        var isOpen = false
        try {
            // The relay has skipped the responses to other requests.
            if (!ResponseRule.isOwn(sent.response, call.requestId, isFirstOnConnection = true)) {
                throw IOException("answer to another request")
            }
            val refusal = readReport(call, beginning, observer)
            isOpen = true
            return refusal ?: beginning
        } catch (cause: IOException) {
            return Beginning.Ended(brokenOff(target, cause, relayed))
        } finally {
            if (!isOpen) beginning.close()
        }
    }

    private fun unsent(reason: String, outcome: FleetOutcome = FleetOutcome.UNSENT) =
        Beginning.Ended(Attempt(SendResult.NotRun(reason), outcome), isUnsentByRelays = true)

    /** Whether no relay has sent the request. */
    private val Beginning.isUnsentByRelays: Boolean
        get() = this is Beginning.Ended && isUnsentByRelays

    /** Whether no relay could tell anything of the target. */
    private val Beginning.isUntold: Boolean
        get() = this is Beginning.Ended && attempt.result == SendResult.NotRun(NO_RELAY)

    /**
     * Reads the rest of the response that [beginning] has begun, and relays it if it streams. The
     * memory of a body that is not streamed is added to [bodies], to be closed by the caller.
     *
     * @throws CallerConnectionException if relaying to the caller fails.
     */
    suspend fun complete(
        call: Call,
        beginning: Beginning.Responding,
        relay: StreamRelay,
        stallPolicy: StallPolicy,
        bodies: MutableList<AutoCloseable>
    ): Attempt {
        val (target, response) = beginning.target to beginning.response
        var isReleased = false
        try {
            val attempt = read(call, response, relay, stallPolicy, bodies)
            // A relay ends the chunks of a response only once it has checked this.
            if (beginning.relayed == null) {
                exchange.requireWhole(target, beginning.connection, response)
            }
            isReleased = tryRelease(call, beginning)
            return attempt
        } catch (cause: CallerConnectionException) {
            // The target is not to blame, and no other one could serve the caller.
            throw cause
        } catch (cause: IOException) {
            return brokenOff(target, cause, beginning.relayed)
        } finally {
            if (!isReleased) beginning.close()
        }
    }

    /** Returns the connection to the pool if it may carry other requests. */
    private fun tryRelease(call: Call, beginning: Beginning.Responding): Boolean {
        val (target, response) = beginning.target to beginning.response
        if (beginning.relayed == null) {
            val connection = beginning.connection
            return exchange.tryRelease(
                target,
                connection,
                response,
                call.requestId,
                call.body.size
            )
        }
        beginning.relayed.release(response)
        return true
    }

    private suspend fun brokenOff(
        target: TargetEntry,
        cause: IOException,
        relayed: RelayClient.Relayed? = null
    ): Attempt {
        if (cause is TargetStalledException && cause.failure == null) {
            // That a target is slower than another one does not count against it.
            val outcome = if (cause.isHedged) FleetOutcome.CANCELLED else FleetOutcome.FAILED
            return Attempt(SendResult.MayHaveRun(cause.message.orEmpty()), outcome)
        }
        val result = SendResult.MayHaveRun("broke off: ${cause.message}")
        if (relayed != null) {
            val outcome = if (relayed.isGone()) FleetOutcome.CANCELLED else FleetOutcome.FAILED
            return Attempt(result, outcome)
        }
        exchange.onBrokenOff(target, cause)
        val hasCrashed = exchange.hasCrashed(target)
        return Attempt(
            result,
            when {
                relays?.isInDoubt(target) == true -> FleetOutcome.CANCELLED
                hasCrashed -> FleetOutcome.CRASHED
                else -> FleetOutcome.FAILED
            }
        )
    }

    private suspend fun connect(call: Call, target: TargetEntry): HttpConnection {
        val address = target.address
        // Without an id, a late response to an earlier request could not be told from its own.
        val requestId = call.requestId ?: return pool.open(address.host, address.port)
        // The target may have closed an idle connection unnoticed. A request that is not safe to
        // retry would fail on it, so it gets only a connection that was in use a moment ago.
        return if (call.route.kind.isSafeToRetry) {
            pool.acquire(address.host, address.port, requestId)
        } else {
            pool.acquireFresh(address.host, address.port, requestId)
        }
    }

    private fun outgoing(call: Call, target: TargetEntry, resumeAfterId: Long?): OutgoingRequest {
        val remainingMs = (call.deadlineAtMs - clock.nowMs()).coerceAtLeast(1)
        val headers = call.request.headers.endToEnd().filterTo(ArrayList()) {
            it.name.lowercase() !in PlatformHeaders.reservedHeaders &&
                (resumeAfterId == null || !it.name.equals(PlatformHeaders.LAST_EVENT_ID, true))
        }
        headers += Header(PlatformHeaders.DEADLINE_MS, remainingMs.toString())
        headers += Header(PlatformHeaders.EXPECTED_TARGET, target.id)
        call.account?.let { headers += Header(PlatformHeaders.ACCOUNT, it.name) }
        resumeAfterId?.let { headers += Header(PlatformHeaders.LAST_EVENT_ID, it.toString()) }
        return OutgoingRequest(call.request.method, call.request.requestTarget, headers, call.body)
    }

    private suspend fun readRefusal(response: IncomingResponse): Attempt {
        if (!response.body.skip(MAX_RESPONSE_BYTES)) throw IOException("endless refusal")
        val outcome =
            if (response.status == MISDIRECTED) FleetOutcome.GONE else FleetOutcome.REFUSED
        val reason = "target refused, ${response.status}"
        val result =
            if (ResponseRule.isRefusal(
                    response
                )
            ) {
                SendResult.NotRun(reason)
            } else {
                SendResult.MayHaveRun(reason)
            }
        return Attempt(result, outcome)
    }

    private suspend fun read(
        call: Call,
        response: IncomingResponse,
        relay: StreamRelay,
        stallPolicy: StallPolicy,
        bodies: MutableList<AutoCloseable>
    ): Attempt {
        if (call.route.kind is RouteKind.Streaming && response.isSuccess) {
            if (!response.isSigned) throw IOException("stream without signature")
            val msPerEvent = relay.relayResponse(response, stallPolicy)
            return Attempt(SendResult.Streamed, FleetOutcome.ANSWERED, msPerEvent)
        }
        return readUnstreamed(call, response, bodies)
    }

    private suspend fun readUnstreamed(
        call: Call,
        response: IncomingResponse,
        bodies: MutableList<AutoCloseable>
    ): Attempt {
        val maxWaitMs = call.deadlineAtMs - clock.nowMs()
        val body = memory.bodies.read(response.body, MAX_RESPONSE_BYTES, maxWaitMs)
            ?: throw IOException("no memory for the response")
        bodies += body
        if (response.isSuccess && !response.isSigned) {
            throw IOException("success without signature")
        }
        // To the caller such a status guarantees that the request did not run, which is unknown.
        if (response.status in notRunStatuses) throw IOException("refusal without promise")
        val isServerError = response.status >= MIN_SERVER_ERROR
        return Attempt(
            SendResult.Answer(response.status, response.headers.endToEnd(), body.bytes),
            if (isServerError) FleetOutcome.ERROR else FleetOutcome.ANSWERED
        )
    }

    private companion object {
        const val MISDIRECTED = 421
        const val NO_RELAY = "no relay"
        val notRunStatuses = setOf(408, 429, 503)
        const val MIN_SERVER_ERROR = 500
        const val MAX_RESPONSE_BYTES = TargetExchange.MAX_RESPONSE_BYTES
    }
}

private val IncomingResponse.isSuccess: Boolean get() = status in 200..299
private val IncomingResponse.isSigned: Boolean get() = headers[PlatformHeaders.SIGNATURE] != null
