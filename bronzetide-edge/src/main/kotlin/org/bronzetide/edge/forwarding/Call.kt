package org.bronzetide.edge.forwarding

import org.bronzetide.http.IncomingRequest
import org.bronzetide.platform.fleet.Account
import org.bronzetide.platform.fleet.RequestMetadata
import org.bronzetide.platform.fleet.Route

/** A request that was admitted, with its whole body. Times are on the process's clock. */
internal class Call(
    val sequence: Long,
    val request: IncomingRequest,
    val facts: RequestMetadata,
    val body: ByteArray,
    val route: Route,
    val service: String,
    /** The pieces in which the answer is expected to come; 0 where it comes at once. */
    val expectedEvents: Int,
    val account: Account?,
    val manifestVersion: Long,
    val arrivedAtMs: Long,
    /** When the caller stops waiting or the route's time is over, whichever comes first. */
    val deadlineAtMs: Long
) {
    val requestId: String? get() = facts.requestId

    /** 0 is the most urgent; an account's own goes before its route's. */
    val priority: Int get() = account?.priority ?: route.priority
}

/** What admission decided on a request. */
internal sealed class Admission {
    data class Admitted(val call: Call) : Admission()

    /** The request is answered with [status] and was not sent to any target. */
    data class Refused(
        val status: Int,
        val reason: String,
        val retryAfterMs: Long? = null,
        val priority: Int? = null,
        /** What the decision rested on, for the log. */
        val logFields: List<Pair<String, Any?>> = emptyList()
    ) : Admission()
}
