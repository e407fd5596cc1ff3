package org.bronzetide.edge.relay

import org.bronzetide.coordination.NodeId
import org.bronzetide.edge.memory.BodyBudget
import org.bronzetide.http.Header
import org.bronzetide.http.IncomingRequest
import org.bronzetide.http.OutgoingRequest
import org.bronzetide.platform.fleet.PlatformHeaders
import org.bronzetide.platform.fleet.RequestMetadata

/**
 * A request of another host that this one relays, from its head to its end. Times are in
 * milliseconds on the process's monotonic clock.
 */
internal class RelayedRequest(val request: IncomingRequest, val arrivedAtMs: Long) {
    /** The sender, or `null` if the request names none. */
    val from: NodeId? = single(RelayProtocol.FROM)?.let(::NodeId)
    val targetId: String? = single(RelayProtocol.TARGET)
    val startHash: Int? = single(RelayProtocol.START)?.toIntOrNull()

    /** Whether the request must not be sent on a connection that the target may be closing. */
    val needsFreshConnection: Boolean = request.headers[RelayProtocol.FRESH] != null
    private val metadata = RequestMetadata.of(request.headers)
    val requestId: String? get() = metadata.requestId

    /** The body, held until it was sent or the request has ended. */
    var body: BodyBudget.HeldBody? = null

    /** Whether the target may have got something of the request. */
    var isSent = false

    /** What the sender was told, or `null` if that is nothing so far. */
    var result: RelayProtocol.Result? = null
    var end = End.FAILED

    /** The bytes of the response's body that were passed on. */
    var responseBytes = 0L

    /** How the exchange with the sender ended. */
    enum class End {
        /** The sender has a complete response. */
        COMPLETE,

        /** The response broke off after its head. */
        BROKEN_OFF,

        /** The sender has closed the connection. */
        SENDER_LEFT,

        /** The request was ended as the process ends. */
        PROCESS_END,

        /** The sender's time for the request was over, although it has not closed. */
        EXPIRED,

        /** This host failed. */
        FAILED
    }

    /** Gives back the memory of the body. */
    fun releaseBody() {
        body?.close()
        body = null
    }

    /** How long the sender waits for the response from [nowMs] on; 0 if its time is over. */
    fun remainingMs(nowMs: Long): Long {
        val timeoutMs = metadata.timeoutMs ?: DEFAULT_TIMEOUT_MS
        return (timeoutMs - (nowMs - arrivedAtMs)).coerceAtLeast(0)
    }

    /** The request as the target gets it, with the time that is left at [nowMs]. */
    fun outgoing(body: ByteArray, nowMs: Long): OutgoingRequest {
        val headers = request.headers.endToEnd().filterTo(ArrayList()) {
            !isOfRelays(it) && !it.name.equals(PlatformHeaders.DEADLINE_MS, ignoreCase = true)
        }
        if (metadata.timeoutMs != null) {
            val remainingMs = remainingMs(nowMs).coerceAtLeast(1)
            headers += Header(PlatformHeaders.DEADLINE_MS, remainingMs.toString())
        }
        return OutgoingRequest(request.method, request.requestTarget, headers, body)
    }

    private fun single(name: String): String? = request.headers.all(name).singleOrNull()?.trim()

    internal companion object {
        private const val PREFIX = "Relay-"

        /** Longer than requests take; the senders state a time in each. */
        private const val DEFAULT_TIMEOUT_MS = 60_000L

        /** Whether [header] is between two hosts only. */
        fun isOfRelays(header: Header): Boolean = header.name.startsWith(PREFIX, ignoreCase = true)
    }
}
