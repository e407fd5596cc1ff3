package org.bronzetide.edge.entry

import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.forwarding.RequestForwarder
import org.bronzetide.http.IncomingRequest
import org.bronzetide.platform.fleet.Account
import org.bronzetide.platform.fleet.Manifest
import org.bronzetide.platform.fleet.Route
import org.bronzetide.platform.fleet.WeightedService
import org.bronzetide.scheduling.fleet.FleetScheduler
import org.bronzetide.scheduling.fleet.FleetTicket
import org.bronzetide.scheduling.fleet.QuotaLimiter
import org.bronzetide.scheduling.fleet.RequestRank
import org.bronzetide.scheduling.fleet.explain

/**
 * Answers `/explain`: where a request that arrives now would be sent, and why.
 *
 * It follows the steps of a request, [AdmissionController] and [FleetScheduler], on the same state,
 * but sends nothing and consumes no quota, slot, permit or retry. A route with several services has
 * one explanation for each, as a request is assigned to one at random by weight.
 */
internal class RequestExplainer(
    private val node: String,
    private val control: ControlLoop,
    private val clock: MonotonicClock,
    private val scheduler: FleetScheduler,
    private val quotas: QuotaLimiter,
    private val manifest: () -> Manifest?
) {
    /** Responds to [request]: 200 with the explanation, or 400 if a parameter is invalid. */
    suspend fun respond(request: IncomingRequest): ControlServer.Response = try {
        val explanation = explain(ExplainQuery.of(request))
        ControlServer.Response(OK, explanation.toJson(), "application/json")
    } catch (cause: IllegalArgumentException) {
        ControlServer.Response(BAD_REQUEST, cause.message.orEmpty())
    }

    /** Explains what would happen to the request that [query] describes. */
    suspend fun explain(query: ExplainQuery): RequestExplanation {
        val current = manifest()
        val base = RequestExplanation(node, current?.version, query.method)
        if (current == null) return base.copy(refusal = unavailable)
        val route = current.routeFor(query.host, query.path)
            ?: return base.copy(refusal = RequestExplanation.Refusal(NOT_FOUND, "no route"))
        val account = query.apiKey?.let(current::accountOf)
        val found = base.copy(
            route = route.name,
            account = account?.name,
            priority = account?.priority ?: route.priority
        )
        if (account == null && current.hasAccounts && !route.isPublic) {
            val refusal = RequestExplanation.Refusal(UNAUTHORIZED, "unknown key")
            return found.copy(refusal = refusal)
        }
        return control.call {
            val nowMs = clock.nowMs()
            val quota = account?.takeIf { it.quotaPerS > 0 }?.let { quotaOf(it, query, nowMs) }
            val refusal = RequestExplanation.Refusal(TOO_MANY_REQUESTS, "over quota")
                .takeIf { quota?.isExhausted == true }
            val totalWeight = route.services.sumOf { it.weight }
            val services = route.services.map { weighted ->
                val ticket = ticket(query, current, route, weighted, account, nowMs)
                RequestExplanation.ServiceDecision(
                    weighted.service,
                    if (totalWeight > 0) weighted.weight / totalWeight else 1.0,
                    scheduler.explain(ticket, nowMs)
                )
            }
            found.copy(quota = quota, refusal = refusal, services = services)
        }
    }

    private fun ticket(
        query: ExplainQuery,
        current: Manifest,
        route: Route,
        weighted: WeightedService,
        account: Account?,
        nowMs: Long
    ): FleetTicket {
        val engine = current.services[weighted.service]?.engine
        return FleetTicket(
            EXPLAINED_SEQUENCE,
            weighted.service,
            RequestRank.of(account?.priority, route.priority).value,
            query.promptTokens ?: 0,
            if (engine == null) 0 else (query.maxOutputTokens ?: 0) / engine.tokensPerEvent,
            dueAtMs = nowMs + route.targetLatencyMs,
            startByMs = RequestForwarder.startByMs(route, nowMs, nowMs + route.timeoutMs),
            account = account?.name,
            endByMs = nowMs + route.timeoutMs
        )
    }

    private fun quotaOf(account: Account, query: ExplainQuery, nowMs: Long): QuotaExplanation {
        // Refills the buckets while the totals of the others are known, so that the state is new.
        quotas.levels(nowMs)
        val state = quotas.stateOf(account.name, nowMs)
        return QuotaExplanation(account, unitsOf(query, account), state)
    }

    private fun unitsOf(query: ExplainQuery, account: Account): Long {
        if (!account.isQuotaInTokens) return 1
        val prompt = query.promptTokens ?: return account.defaultRequestTokens
        return prompt.toLong() + (query.maxOutputTokens ?: 0)
    }

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val TOO_MANY_REQUESTS = 429
        val unavailable = RequestExplanation.Refusal(503, "no manifest yet")

        /** Greater than that of any request, as of the latest arrival. */
        const val EXPLAINED_SEQUENCE = Long.MAX_VALUE
    }
}
