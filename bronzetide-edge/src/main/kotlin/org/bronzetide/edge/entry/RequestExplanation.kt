package org.bronzetide.edge.entry

import kotlinx.serialization.json.JsonArrayBuilder
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.bronzetide.scheduling.fleet.FleetExplanation
import org.bronzetide.scheduling.fleet.FleetExplanation.Verdict

/**
 * What would happen to a request that arrives at [node] now. Fields that the decision did not come
 * to are `null` or empty.
 */
internal data class RequestExplanation(
    val node: String,
    val manifestVersion: Long?,
    val method: String,
    val route: String? = null,
    val account: String? = null,
    /** 0 is the most urgent. */
    val priority: Int? = null,
    val quota: QuotaExplanation? = null,
    /** Set if the request would be refused before it is queued. */
    val refusal: Refusal? = null,
    val services: List<ServiceDecision> = emptyList()
) {
    /** A refusal with [status] before the request is queued. */
    data class Refusal(val status: Int, val reason: String)

    /** The decision if the request is assigned to [service], which gets [share] of the route's. */
    class ServiceDecision(val service: String, val share: Double, val decision: FleetExplanation)

    /** Encodes the explanation as JSON; absent values are left out. */
    fun toJson(): String = buildJsonObject {
        put("node", node)
        manifestVersion?.let { put("manifestVersion", it) }
        put("method", method)
        route?.let { put("route", it) }
        account?.let { put("account", it) }
        priority?.let { put("priority", it) }
        quota?.let { putQuota(it) }
        refusal?.let {
            putJsonObject("refusal") {
                put("status", it.status)
                put("reason", it.reason)
            }
        }
        putJsonArray("services") { services.forEach { addService(it) } }
    }.toString()

    private fun JsonObjectBuilder.putQuota(quota: QuotaExplanation) = putJsonObject("quota") {
        put("perS", quota.account.quotaPerS)
        put("burst", quota.account.quotaBurst)
        put("units", quota.units)
        quota.state?.let { state ->
            put("spendable", quota.spendable)
            put("threshold", state.threshold)
            put("level", state.level)
            put("unreported", state.unreported)
            put("rateShare", state.knowledge.rateShare)
            put("updateAgeMs", state.updateAgeMs)
        }
    }

    private fun JsonArrayBuilder.addService(service: ServiceDecision) = addJsonObject {
        val decision = service.decision
        put("service", service.service)
        put("share", service.share)
        putVerdict(decision.verdict)
        put("rank", decision.rank)
        put("accountShare", decision.shareBand.name.lowercase())
        put("ahead", decision.aheadCount)
        put("ownDemand", decision.ownDemand)
        decision.peerDemand?.let { put("peerDemand", it) }
        put("ownShareUsed", decision.isShareUsed)
        put("sampled", decision.isSampled)
        putJsonArray("candidates") { decision.candidates.forEach { addCandidate(it) } }
    }

    private fun JsonObjectBuilder.putVerdict(verdict: Verdict) = when (verdict) {
        is Verdict.Send -> {
            put("verdict", "send")
            put("target", verdict.targetId)
        }

        is Verdict.Wait -> {
            put("verdict", "wait")
            put("reason", verdict.reason)
            put("maxWaitMs", verdict.maxWaitMs)
        }

        is Verdict.Refuse -> {
            put("verdict", "refuse")
            put("reason", verdict.reason)
        }
    }

    private fun JsonArrayBuilder.addCandidate(candidate: FleetExplanation.Candidate) =
        addJsonObject {
            put("id", candidate.id)
            put("zone", candidate.zone)
            put("standing", candidate.standing.name.lowercase())
            put("ownRequests", candidate.ownCount)
            put("peerRequests", candidate.peerCount)
            put("slots", candidate.slots)
            put("paceFactor", candidate.slowdown)
            candidate.firstEventMs?.let { put("firstEventMs", it) }
            put("score", candidate.score)
            candidate.limitPerSecond?.let { put("limitPerSecond", it) }
        }
}
