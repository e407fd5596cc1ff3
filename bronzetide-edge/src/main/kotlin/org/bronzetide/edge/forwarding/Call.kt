package org.bronzetide.edge.forwarding

import org.bronzetide.http.IncomingRequest
import org.bronzetide.platform.fleet.Account
import org.bronzetide.platform.fleet.RequestMetadata
import org.bronzetide.platform.fleet.Route
import org.bronzetide.scheduling.fleet.PromptPart
import org.bronzetide.scheduling.fleet.RequestRank
import org.bronzetide.scheduling.fleet.SoftwareVersion

/**
 * An admitted request with its complete body. Times are in milliseconds on the process's monotonic
 * clock.
 */
internal class Call(
    val sequence: Long,
    val request: IncomingRequest,
    val metadata: RequestMetadata,
    val body: ByteArray,
    val route: Route,
    val service: String,
    /**
     * The expected number of events of the response; 0 if the service is not an engine or the
     * request does not tell the number of output tokens.
     */
    val expectedEvents: Int,
    val account: Account?,
    val manifestVersion: Long,
    val arrivedAtMs: Long,
    /** When the caller's deadline or the route's timeout expires, whichever comes first. */
    val deadlineAtMs: Long,
    /** The only version that may respond, as it began the stream; `null` if any may. */
    val version: SoftwareVersion? = null
) {
    /** The runs at targets so far. */
    val runs = RunRecord()

    val requestId: String? get() = metadata.requestId

    /** The id of the caller's request that brought the first event of the stream. */
    val firstRequestId: String? get() = metadata.takenUpStream?.firstRequestId ?: requestId

    /** The parts of the prompt that other requests may share; the last part is not shared. */
    val sharedParts: List<PromptPart> get() = metadata.promptParts.dropLast(1).map(PromptPart::of)

    /** The account's priority if it has one, else the route's; 0 is the most urgent. */
    val priority: Int get() = account?.priority ?: route.priority

    /** The urgency by the account's priority and, within it, the route's. */
    val rank: RequestRank get() = RequestRank.of(account?.priority, route.priority)

    /**
     * The time by which the first event, or the whole response, meets the route's latency target.
     *
     * It counts from the arrival: callers state deadlines of their own, so a short one does not
     * tell that an earlier attempt was made.
     */
    val dueAtMs: Long get() = arrivedAtMs + route.targetLatencyMs
}

/** The decision on whether a request is admitted. */
internal sealed class Admission {
    data class Admitted(val call: Call) : Admission()

    /** The request gets a response with [status] and is not sent to any target. */
    data class Refused(
        val status: Int,
        val reason: String,
        val retryAfterMs: Long? = null,
        val priority: Int? = null,
        /** The name of the request's route, if one was found. */
        val route: String? = null,
        /** The name of the account, if one was found. */
        val account: String? = null,
        /** The inputs of the decision, as fields for the log. */
        val logFields: List<Pair<String, Any?>> = emptyList()
    ) : Admission()
}
