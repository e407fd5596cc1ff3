package org.bronzetide.edge.relay

import java.io.IOException
import java.net.ConnectException
import java.util.concurrent.atomic.AtomicBoolean
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.bronzetide.coordination.Member
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.NodeId
import org.bronzetide.edge.forwarding.TargetStalledException
import org.bronzetide.edge.relay.RelayProtocol.Result
import org.bronzetide.edge.state.ref
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.http.ConnectionPool
import org.bronzetide.http.Header
import org.bronzetide.http.HeaderList
import org.bronzetide.http.HttpConnection
import org.bronzetide.http.IncomingResponse
import org.bronzetide.http.OutgoingRequest
import org.bronzetide.platform.fleet.TargetEntry
import org.bronzetide.scheduling.fleet.TargetRef

/**
 * Sends requests by way of other hosts to targets that this one cannot reach, and finds out which
 * these are.
 *
 * A relay that has sent nothing says so, and another one is asked. A request that was handed to a
 * relay that breaks off before it says so may have run. Connections to relays are pooled and, as
 * those to targets, never carry a request id twice.
 */
internal class RelayClient(
    private val paths: TargetPaths,
    private val peers: RelayPeers,
    private val connections: Connections,
    private val clock: MonotonicClock,
    private val scope: CoroutineScope,
    private val log: DecisionLog,
    private val metrics: EdgeMetrics,
    /** The registered targets. */
    private val targets: () -> Collection<TargetEntry>
) {
    /** The connections of this host, and the port at which all hosts relay. */
    class Connections(
        val toTargets: ConnectionPool,
        val toRelays: ConnectionPool,
        val relayPort: Int
    )

    private val isProbing = AtomicBoolean()

    /** This process as a member, which is part of each request; set when it is known. */
    @Volatile
    private var self: NodeId? = null

    /** Whether this host has lost all its targets. */
    val isCutOff: Boolean get() = paths.isCutOff

    /** A request to one target, which may be handed to several relays in turn. */
    interface Exchange {
        val target: TargetEntry
        val requestId: String?

        /** Whether the request may be sent again if a connection breaks. */
        val isSafeToRetry: Boolean

        /** The request as the target is to get it, for a send at this moment. */
        fun request(): OutgoingRequest

        /** The request is about to be handed to a relay. */
        fun onSend()

        /** The relay has not sent the request. */
        fun onUnsent()

        /** Waits for the head of a response by [receive]. */
        suspend fun await(receive: suspend () -> IncomingResponse): IncomingResponse
    }

    /** The result of [send]. */
    sealed class Sent {
        /** The target has begun to respond; [response] is its own. */
        class Responding(val relayed: Relayed, val response: IncomingResponse) : Sent()

        /** The target got the request, and no valid response arrived. */
        class Failed(val hasCrashed: Boolean, val reason: String) : Sent()

        /** The relay broke off or is silent, so that the request may have run. */
        class Lost(val reason: String) : Sent()

        /**
         * No relay has sent the request; [result] is what they said of the target, or `null` if
         * none could tell.
         */
        class NotSent(val result: Result?) : Sent()
    }

    /** A connection to the relay [peer] that carries a response. */
    inner class Relayed(val peer: RelayPeers.Peer, val connection: HttpConnection) :
        AutoCloseable {
        private val hasEnded = AtomicBoolean()

        /** Takes the connection back after [response] if it may carry other requests. */
        fun release(response: IncomingResponse) {
            connections.toRelays.release(peer.ip, connections.relayPort, connection, response)
            end()
        }

        /** Whether the relay itself is gone, which also ends a response. */
        suspend fun isGone(): Boolean = try {
            connections.toRelays.openIdle(peer.ip, connections.relayPort)
            false
        } catch (_: IOException) {
            peers.onUnavailable(peer, clock.nowMs())
            true
        }

        override fun close() {
            connection.close()
            end()
        }

        private fun end() {
            if (hasEnded.compareAndSet(false, true)) peers.onEnd(peer)
        }
    }

    /** Sets the hosts that may relay, and this one's id. */
    fun updateMembers(self: NodeId, members: List<Member>) {
        this.self = self
        peers.update(self, members)
    }

    /** Forgets what is known of targets that are not registered any more. */
    fun onTargets() = paths.retain(targets().mapTo(HashSet()) { it.ref })

    /** Returns the path to [target] at present. */
    fun pathTo(target: TargetEntry): TargetPaths.Path = paths.pathTo(target.ref, clock.nowMs())

    /** Whether [target] was last tried directly, in vain, a moment ago. */
    fun hasJustFailed(target: TargetEntry): Boolean =
        paths.hasJustFailed(target.ref, DIRECT_RETRY_MS, clock.nowMs())

    /** Whether a failure at [target] may be one of the network of this host. */
    fun isInDoubt(target: TargetEntry): Boolean = paths.isInDoubt(target.ref, clock.nowMs())

    /** Whether this host is known not to reach [target], which others do. */
    fun isCutOff(target: TargetEntry): Boolean = pathTo(target) == TargetPaths.Path.RELAYED

    /** Bytes of [target] have arrived on a direct connection. */
    fun onHeard(target: TargetEntry) = paths.onHeard(target.ref, clock.nowMs())

    /** No direct connection to [target] could be made because of [cause]. */
    fun onConnectFailed(target: TargetEntry, cause: IOException) {
        val evidence = if (cause is ConnectException) {
            TargetPaths.Evidence.REFUSED
        } else {
            TargetPaths.Evidence.TIMED_OUT
        }
        paths.onConnectFailed(target.ref, evidence, clock.nowMs())
    }

    /**
     * Runs [block], which waits for [target] on a direct connection. While it lasts and nothing is
     * heard of the target, checks by new connections whether it can be reached.
     */
    suspend fun <T> watchSilence(target: TargetEntry, block: suspend () -> T): T = coroutineScope {
        val silentSinceMs = clock.nowMs()
        val watch = launch {
            while (true) {
                delay(SILENCE_MS)
                checkSilent(target, silentSinceMs)
            }
        }
        try {
            block()
        } finally {
            watch.cancel()
        }
    }

    private fun checkSilent(target: TargetEntry, silentSinceMs: Long) {
        if (!paths.tryBeginCheck(target.ref, silentSinceMs, clock.nowMs())) return
        // The check goes on if the request ends meanwhile: others will need its result.
        scope.launch {
            try {
                probe(target)
            } finally {
                paths.onCheckEnd(target.ref)
            }
        }
    }

    /**
     * Hands [exchange] to relays, one after the other, until one has sent it to its target.
     *
     * @throws TargetStalledException if the target is abandoned for another one.
     */
    suspend fun send(exchange: Exchange): Sent {
        val from = self ?: return Sent.NotSent(null)
        val beganAtMs = clock.nowMs()
        val tried = HashSet<NodeId>()
        val triedZones = HashSet<String>()
        val missing = ArrayList<RelayPeers.Peer>()
        var said: Result? = null
        while (tried.size < MAX_RELAYS) {
            val peer = peers.choose(tried, triedZones, clock.nowMs()) ?: break
            tried += peer.id
            val result = when (val step = sendBy(peer, from, exchange)) {
                is Step.Final -> return step.sent.also { onEnd(it, missing) }
                is Step.Next -> step.result
            }
            when (result) {
                null, Result.CUT_OFF, Result.UNAVAILABLE ->
                    peers.onUnavailable(peer, clock.nowMs())

                Result.REFUSED, Result.UNREACHABLE -> {
                    // The hosts of a zone may have been cut off together a moment ago.
                    val isSaidTwice = said != null && said != Result.UNKNOWN_TARGET
                    said = result
                    missing += peer
                    triedZones += peer.availabilityZone
                    if (isSaidTwice || isLikelyTargets(result, peer, beganAtMs)) break
                }

                else -> said = said ?: result
            }
        }
        if (said == Result.REFUSED || said == Result.UNREACHABLE) {
            paths.onRelaysFailed(exchange.target.ref, clock.nowMs())
        }
        return Sent.NotSent(said)
    }

    /** A send has come to [sent], after the relays [missing] could not connect to its target. */
    private fun onEnd(sent: Sent, missing: List<RelayPeers.Peer>) {
        // If the target runs, it is their own paths that are lost.
        val isRunning = sent is Sent.Responding || sent is Sent.Failed && !sent.hasCrashed
        if (isRunning) missing.forEach { peers.onUnavailable(it, clock.nowMs()) }
    }

    /**
     * Whether [result] of [peer] is not worth a second opinion: it took the relay long, and this
     * host reaches other targets. What was heard before the send began at [beganAtMs] may be from
     * before a cut, so it counts only if no such cut would have met [peer] too.
     */
    private fun isLikelyTargets(result: Result, peer: RelayPeers.Peer, beganAtMs: Long): Boolean {
        if (result != Result.UNREACHABLE) return false
        val hasHeardLately = paths.hasHeardSince(clock.nowMs() - TargetPaths.MOMENT_MS)
        return paths.hasHeardSince(beganAtMs + 1) || (!peers.isNear(peer) && hasHeardLately)
    }

    private sealed class Step {
        class Final(val sent: Sent) : Step()

        /** The relay has not sent the request; without a [result] it could not be reached. */
        class Next(val result: Result?) : Step()
    }

    private suspend fun sendBy(peer: RelayPeers.Peer, from: NodeId, exchange: Exchange): Step {
        peers.onBegin(peer)
        var isOpen = false
        var relayed: Relayed? = null
        try {
            val connection = try {
                connect(peer, exchange)
            } catch (_: IOException) {
                record(peer, exchange, "no connection")
                return Step.Next(null)
            }
            relayed = Relayed(peer, connection)
            val response = try {
                exchange.onSend()
                connection.send(exchange.request().by(from, exchange))
                exchange.await { connection.receive() }
            } catch (cause: TargetStalledException) {
                if (cause.failure != null) return onBrokenOff(peer, exchange, cause)
                // Another target takes over.
                record(peer, exchange, "abandoned")
                if (!peers.onAbandoned(peer, exchange.target.ref, clock.nowMs())) throw cause
                return Step.Final(Sent.Lost("silent relay"))
            } catch (cause: IOException) {
                return onBrokenOff(peer, exchange, cause)
            }
            peers.onAnswered(peer)
            val result = Result.of(response.headers[RelayProtocol.RESULT])
            record(peer, exchange, result?.text ?: "invalid")
            val step = onResult(result, relayed, response, exchange)
            isOpen = step is Step.Final && step.sent is Sent.Responding
            if (!isOpen) isOpen = tryRelease(relayed, response)
            return step
        } finally {
            if (!isOpen) relayed?.close() ?: peers.onEnd(peer)
        }
    }

    private fun onBrokenOff(peer: RelayPeers.Peer, exchange: Exchange, cause: IOException): Step {
        record(peer, exchange, "broken off")
        peers.onUnavailable(peer, clock.nowMs())
        return Step.Final(Sent.Lost("relay broke off: ${cause.message}"))
    }

    private fun onResult(
        result: Result?,
        relayed: Relayed,
        response: IncomingResponse,
        exchange: Exchange
    ): Step {
        val target = exchange.target.ref
        when (result) {
            Result.RESPONDED, Result.FAILED -> {
                peers.onReached(relayed.peer)
                paths.onRelayReached(target, clock.nowMs())
            }

            else -> Unit
        }
        return when (result) {
            null -> Step.Final(Sent.Lost("invalid response of a relay"))

            Result.RESPONDED -> Step.Final(Sent.Responding(relayed, response.withoutRelayHeaders()))

            Result.FAILED, Result.CRASHED -> {
                val reason = "relay by ${relayed.peer.id.hostName}: ${result.text}"
                Step.Final(Sent.Failed(result == Result.CRASHED, reason))
            }

            Result.UNWANTED -> {
                exchange.onUnsent()
                Step.Final(Sent.NotSent(result))
            }

            Result.CUT_OFF, Result.UNAVAILABLE, Result.REFUSED, Result.UNREACHABLE,
            Result.UNKNOWN_TARGET -> {
                exchange.onUnsent()
                Step.Next(result)
            }
        }
    }

    /** Reads the rest of a response without one of the target, which is short. */
    private suspend fun tryRelease(relayed: Relayed, response: IncomingResponse): Boolean {
        try {
            if (!response.body.skip(MAX_RESULT_BYTES)) return false
        } catch (_: IOException) {
            // What the relay said counts all the same.
            return false
        }
        relayed.release(response)
        return true
    }

    private suspend fun connect(peer: RelayPeers.Peer, exchange: Exchange): HttpConnection {
        val (pool, port) = connections.toRelays to connections.relayPort
        // As with targets: the relay may have closed an idle connection unnoticed.
        return if (exchange.isSafeToRetry) {
            pool.acquire(peer.ip, port, exchange.requestId)
        } else {
            pool.acquireFresh(peer.ip, port, exchange.requestId)
        }
    }

    private fun OutgoingRequest.by(from: NodeId, exchange: Exchange): OutgoingRequest {
        val headers = headers.filterNotTo(ArrayList()) { it.isOfRelay }
        headers += Header(RelayProtocol.TARGET, exchange.target.id)
        headers += Header(RelayProtocol.START, exchange.target.startHash.toString())
        headers += Header(RelayProtocol.FROM, from.value)
        if (!exchange.isSafeToRetry) headers += Header(RelayProtocol.FRESH, "1")
        return OutgoingRequest(method, requestTarget, headers, body)
    }

    private fun IncomingResponse.withoutRelayHeaders() = IncomingResponse(
        status,
        HeaderList(headers.filterNot { it.isOfRelay }),
        framing,
        body
    )

    private fun record(peer: RelayPeers.Peer, exchange: Exchange, result: String) {
        metrics.onRelayedSend(result)
        log.request(
            "relayed send",
            exchange.requestId,
            "target" to exchange.target.id,
            "via" to peer.id.value,
            "result" to result
        )
    }

    /** Is told of each change of the paths. */
    fun onChange(change: TargetPaths.Change) {
        when (change) {
            is TargetPaths.Change.Lost -> {
                log.stateChange(
                    "target lost",
                    "target" to change.target.id,
                    "evidence" to change.evidence.name
                )
                // Connections from before are silent, or will be.
                find(change.target)?.let(::evict)
                startProbing()
            }

            is TargetPaths.Change.Reached -> log.stateChange(
                "target reached again",
                "target" to change.target.id,
                "afterMs" to change.afterMs
            )

            is TargetPaths.Change.CutOff -> {
                log.stateChange("cut off from targets", "lost" to change.lostCount)
                targets().forEach(::evict)
            }

            is TargetPaths.Change.Reconnected ->
                log.stateChange("targets within reach", "afterMs" to change.afterMs)
        }
    }

    private fun evict(target: TargetEntry) =
        connections.toTargets.evict(target.address.host, target.address.port)

    private fun startProbing() {
        if (!isProbing.compareAndSet(false, true)) return
        scope.launch {
            try {
                while (paths.needsProbes) {
                    delay(PROBE_TICK_MS)
                    paths.takeDueProbes(clock.nowMs()).mapNotNull(::find).forEach {
                        launch { probe(it) }
                    }
                }
            } finally {
                isProbing.set(false)
            }
        }
    }

    private suspend fun probe(target: TargetEntry) {
        try {
            connections.toTargets.openIdle(target.address.host, target.address.port)
            paths.onConnected(target.ref, clock.nowMs())
        } catch (cause: IOException) {
            onConnectFailed(target, cause)
        }
    }

    private fun find(target: TargetRef): TargetEntry? = targets().find { it.ref == target }

    private val Header.isOfRelay: Boolean get() = name.startsWith(HEADER_PREFIX, ignoreCase = true)

    private companion object {
        const val HEADER_PREFIX = "Relay-"

        /** The relays that are asked for one send. */
        const val MAX_RELAYS = 3

        /** The time without a response after which a target is checked, in milliseconds. */
        const val SILENCE_MS = 450L

        /** How long a direct connection is not tried again if no relay helps, in milliseconds. */
        const val DIRECT_RETRY_MS = 500L

        /** The time between two looks for due probes, in milliseconds. */
        const val PROBE_TICK_MS = 200L

        /** What a relay says besides its result. */
        const val MAX_RESULT_BYTES = 65_536
    }
}
