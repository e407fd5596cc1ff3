package org.bronzetide.edge.entry

import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import org.bronzetide.edge.forwarding.Admission
import org.bronzetide.edge.forwarding.Call
import org.bronzetide.http.IncomingRequest
import org.bronzetide.platform.fleet.Account
import org.bronzetide.platform.fleet.Manifest
import org.bronzetide.platform.fleet.RequestMetadata
import org.bronzetide.platform.fleet.Route
import org.bronzetide.platform.fleet.Service

/** Finds a request's route and account in the manifest, and holds accounts to their quotas. */
internal class AdmissionController(
    private val manifest: () -> Manifest?,
    private val quotas: AccountQuotas
) {
    private val sequences = AtomicLong()

    /** The quotas of accounts. */
    interface AccountQuotas {
        /** Takes [units]; gives the wait in milliseconds where there are none. */
        suspend fun tryConsume(account: Account, units: Long): Long?

        /** Gives [units] back that were taken for a request that no target ran. */
        fun refund(account: Account, units: Long)
    }

    /** Returns what [call] took of its account's quota. */
    fun refund(call: Call) {
        call.account?.let { quotas.refund(it, unitsOf(call.facts, it)) }
    }

    suspend fun admit(request: IncomingRequest, body: ByteArray, arrivedAtMs: Long): Admission {
        val known = manifest()
            ?: return Admission.Refused(UNAVAILABLE, "no manifest yet", STARTING_RETRY_MS)
        val facts = RequestMetadata.of(request.headers)
        val host = request.headers["Host"].orEmpty()
        val version = listOf("manifest" to known.version)
        val route = known.routeFor(host, request.path)
            ?: return Admission.Refused(NOT_FOUND, "no route", logFields = version)
        val account = facts.apiKey?.let(known::accountOf)
        if (account == null && known.hasAccounts && !route.isPublic) {
            return Admission.Refused(
                UNAUTHENTICATED,
                "unknown key",
                priority = route.priority,
                logFields = version + ("route" to route.name)
            )
        }
        val priority = account?.priority ?: route.priority
        val waitMs = account?.let { quotas.tryConsume(it, unitsOf(facts, it)) }
        if (account != null && waitMs != null) {
            val logFields = version + listOf(
                "account" to account.name,
                "units" to unitsOf(facts, account),
                "quotaPerS" to account.quotaPerS
            )
            return Admission.Refused(TOO_MANY, "over quota", waitMs, priority, logFields)
        }
        return Admission.Admitted(call(request, body, arrivedAtMs, known, facts, route, account))
    }

    private fun call(
        request: IncomingRequest,
        body: ByteArray,
        arrivedAtMs: Long,
        known: Manifest,
        facts: RequestMetadata,
        route: Route,
        account: Account?
    ): Call {
        val service = pickService(route)
        val waitsMs = minOf(facts.timeoutMs ?: route.timeoutMs, route.timeoutMs)
        return Call(
            sequences.incrementAndGet(),
            request,
            facts,
            body,
            route,
            service,
            expectedEvents(facts, known.services[service]?.engine),
            account,
            known.version,
            arrivedAtMs,
            deadlineAtMs = arrivedAtMs + waitsMs
        )
    }

    private fun expectedEvents(facts: RequestMetadata, engine: Service.Engine?): Int {
        val tokens = facts.expectedOutputTokens ?: facts.maxOutputTokens ?: 0
        return if (engine == null) 0 else tokens / engine.tokensPerEvent
    }

    private fun unitsOf(facts: RequestMetadata, account: Account): Long {
        if (!account.isQuotaInTokens) return 1
        val prompt = facts.promptTokens ?: return account.defaultRequestTokens
        return prompt.toLong() + (facts.maxOutputTokens ?: 0)
    }

    private fun pickService(route: Route): String {
        val total = route.services.sumOf { it.weight }
        if (route.services.size <= 1 || total <= 0) {
            return route.services.firstOrNull()?.service.orEmpty()
        }
        var point = Random.nextDouble(total)
        return route.services.firstOrNull {
            point -= it.weight
            point < 0
        }?.service ?: route.services.last().service
    }

    private companion object {
        const val UNAUTHENTICATED = 401
        const val NOT_FOUND = 404
        const val TOO_MANY = 429
        const val UNAVAILABLE = 503
        const val STARTING_RETRY_MS = 300L
    }
}
