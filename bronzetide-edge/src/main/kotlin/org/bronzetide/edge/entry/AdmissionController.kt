package org.bronzetide.edge.entry

import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.edge.forwarding.Admission
import org.bronzetide.edge.forwarding.Call
import org.bronzetide.edge.forwarding.RequestForwarder
import org.bronzetide.edge.streams.StreamOrigins
import org.bronzetide.edge.streams.StreamOrigins.Continuation
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.http.IncomingRequest
import org.bronzetide.platform.fleet.Account
import org.bronzetide.platform.fleet.Manifest
import org.bronzetide.platform.fleet.RequestMetadata
import org.bronzetide.platform.fleet.Route
import org.bronzetide.platform.fleet.RouteKind
import org.bronzetide.platform.fleet.Service
import org.bronzetide.scheduling.streams.StreamOrigin

/**
 * Finds the route and account of each request in the manifest, and admits it within the account's
 * quota.
 */
internal class AdmissionController(
    private val manifest: () -> Manifest?,
    private val quotas: AccountQuotas,
    private val origins: StreamOrigins,
    private val metrics: EdgeMetrics = EdgeMetrics(),
    /** Waits until there is a manifest. */
    private val awaitManifest: suspend () -> Unit = {}
) {
    private val sequences = AtomicLong()

    /** Limits the units that each account consumes. */
    interface AccountQuotas {
        /**
         * Consumes [charge] from [account]'s quota and returns `null`, or returns the milliseconds
         * after which to retry if the quota is exhausted.
         */
        suspend fun tryConsume(account: Account, charge: QuotaCharge): Long?

        /** Returns [units] that were consumed for a request that no target ran. */
        fun refund(account: Account, units: Long)
    }

    /** Returns the units that [call] consumed to its account's quota. */
    fun refund(call: Call) {
        call.account?.let { quotas.refund(it, unitsOf(call.metadata, it)) }
    }

    /**
     * Decides whether [request] is admitted. [arrivedAtMs] is the time of its arrival on the
     * process's monotonic clock.
     */
    suspend fun admit(request: IncomingRequest, body: ByteArray, arrivedAtMs: Long): Admission {
        val current = manifest() ?: firstManifest()
            ?: return Admission.Refused(UNAVAILABLE, "no manifest yet", STARTUP_RETRY_AFTER_MS)
        val metadata = RequestMetadata.of(request.headers)
        val host = request.headers["Host"].orEmpty()
        val versionField = listOf("manifest" to current.version)
        val route = current.routeFor(host, request.path)
            ?: return Admission.Refused(NOT_FOUND, "no route", logFields = versionField)
        val account = metadata.apiKey?.let(current::accountOf)
        if (account == null && current.hasAccounts && !route.isPublic) {
            return Admission.Refused(
                UNAUTHORIZED,
                "unknown key",
                priority = route.priority,
                route = route.name,
                logFields = versionField
            )
        }
        val priority = account?.priority ?: route.priority
        val continuation = continuationOf(metadata, route)
        if (continuation is Continuation.Unknown) {
            return refusalOf(continuation, current, route, account)
        }
        val origin = (continuation as? Continuation.At)?.origin
        // Nothing that can fail follows the consumption of units, so that none are lost.
        val arrival = Arrival(request, metadata, body, arrivedAtMs)
        val call = createCall(arrival, current, route, account, origin)
        val retryAfterMs = account?.let { quotas.tryConsume(it, chargeOf(call, it, current)) }
        if (account != null && retryAfterMs != null) {
            val logFields = versionField + listOf(
                "units" to unitsOf(metadata, account),
                "quotaPerS" to account.quotaPerS
            )
            return Admission.Refused(
                TOO_MANY_REQUESTS,
                "over quota",
                retryAfterMs,
                priority,
                route.name,
                account.name,
                logFields
            )
        }
        return Admission.Admitted(call)
    }

    /** Whether the stream that a request takes up may go on; `null` if it takes none up. */
    private suspend fun continuationOf(metadata: RequestMetadata, route: Route): Continuation? {
        if (route.kind !is RouteKind.Streaming) return null
        val stream = metadata.takenUpStream ?: return null
        val found = origins.find(stream.firstRequestId, route.services.map { it.service })
        metrics.onStreamTakenUp(if (found is Continuation.At) "continued" else "refused")
        return found
    }

    private fun refusalOf(
        continuation: Continuation.Unknown,
        current: Manifest,
        route: Route,
        account: Account?
    ) = Admission.Refused(
        UNAVAILABLE,
        continuation.reason,
        continuation.retryAfterMs,
        account?.priority ?: route.priority,
        route.name,
        account?.name,
        listOf("manifest" to current.version)
    )

    /**
     * Waits for the first manifest after a start. It mostly arrives sooner than the caller would
     * be back after a refusal.
     */
    private suspend fun firstManifest(): Manifest? {
        withTimeoutOrNull(STARTUP_RETRY_AFTER_MS) { awaitManifest() }
        return manifest()
    }

    /** A request as it was read from its caller. */
    private class Arrival(
        val request: IncomingRequest,
        val metadata: RequestMetadata,
        val body: ByteArray,
        val atMs: Long
    )

    private fun createCall(
        arrival: Arrival,
        current: Manifest,
        route: Route,
        account: Account?,
        origin: StreamOrigin?
    ): Call {
        val metadata = arrival.metadata
        val service = origin?.service ?: pickService(route)
        val timeoutMs = minOf(metadata.timeoutMs ?: route.timeoutMs, route.timeoutMs)
        return Call(
            sequences.incrementAndGet(),
            arrival.request,
            metadata,
            arrival.body,
            route,
            service,
            expectedEvents(metadata, current.services[service]?.engine),
            account,
            current.version,
            arrival.atMs,
            deadlineAtMs = arrival.atMs + timeoutMs,
            origin?.version
        )
    }

    private fun expectedEvents(metadata: RequestMetadata, engine: Service.Engine?): Int {
        val tokens = metadata.expectedOutputTokens ?: metadata.maxOutputTokens ?: 0
        return if (engine == null) 0 else tokens / engine.tokensPerEvent
    }

    private fun chargeOf(call: Call, account: Account, current: Manifest) = QuotaCharge(
        unitsOf(call.metadata, account),
        call.requestId,
        current.priorityPosition(call.route),
        (call.deadlineAtMs - call.arrivedAtMs) / RequestForwarder.RETRY_AFTER_DIVISOR
    )

    private fun unitsOf(metadata: RequestMetadata, account: Account): Long {
        if (!account.isQuotaInTokens) return 1
        val prompt = metadata.promptTokens ?: return account.defaultRequestTokens
        return prompt.toLong() + (metadata.maxOutputTokens ?: 0)
    }

    private fun pickService(route: Route): String {
        val total = route.services.sumOf { it.weight }
        if (route.services.size <= 1 || total <= 0) {
            return route.services.firstOrNull()?.service.orEmpty()
        }
        var remaining = Random.nextDouble(total)
        return route.services.firstOrNull {
            remaining -= it.weight
            remaining < 0
        }?.service ?: route.services.last().service
    }

    private companion object {
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val TOO_MANY_REQUESTS = 429
        const val UNAVAILABLE = 503
        const val STARTUP_RETRY_AFTER_MS = 300L
    }
}
