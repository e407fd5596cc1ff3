package org.bronzetide.cli

import java.util.Locale
import kotlin.math.roundToLong

/** Formats [Explanation]s for operators, one fact a line. */
object ExplanationText {
    private const val PERCENT = 100

    /** Returns the lines for [explanation]. */
    fun lines(explanation: Explanation): List<String> = buildList {
        add("host ${explanation.node}, manifest ${explanation.manifestVersion ?: "unknown"}")
        explanation.route?.let { route ->
            val account = explanation.account?.let { ", account $it" }.orEmpty()
            add("route $route$account, priority ${explanation.priority}")
        }
        explanation.quota?.let { add(quota(it)) }
        explanation.refusal?.let { add("refused with ${it.status}: ${it.reason}") }
        val prefix = if (explanation.refusal == null) "" else "otherwise "
        explanation.services.forEach { addAll(service(it, prefix)) }
    }

    private fun quota(quota: Explanation.Quota): String {
        val spendable = quota.spendable?.let {
            ", ${units(it)} left for this host, ${units(quota.threshold ?: 0.0)} needed"
        }
        return "quota ${units(quota.perS)} per s, burst ${units(quota.burst)}, " +
            "takes ${quota.units}" + (spendable ?: ", not used on this host yet")
    }

    private fun units(value: Double): String = value.roundToLong().toString()

    private fun service(service: Explanation.Service, prefix: String): List<String> = buildList {
        val share = (service.share * PERCENT).roundToLong()
        val verdict = when (service.verdict) {
            "send" -> "sent to ${service.target}"
            "wait" -> "waits for ${service.reason}, ${service.maxWaitMs} ms at most"
            else -> "refused with 503: ${service.reason}"
        }
        add("${prefix}service ${service.service} ($share% of the route): $verdict")
        val peers = service.peerDemand?.let { ", on other hosts $it" }.orEmpty()
        add(
            "  rank ${service.rank}, ${service.ahead} ahead; " +
                "in progress or queued here ${service.ownDemand}$peers"
        )
        when (service.accountShare) {
            "above" -> add("  the account got clearly more than others, so it ranks behind them")
            "far_above" ->
                add("  the account got several times as much as others, so it ranks behind them")
        }
        if (service.ownShareUsed) add("  this host uses its share of the slots")
        if (service.sampled) add("  the choice is made among a random sample of the free targets")
        service.candidates.forEach { add("  " + candidate(it)) }
    }

    private fun candidate(candidate: Explanation.Candidate): String {
        val used = candidate.ownRequests + candidate.peerRequests
        val pace = "%.2f".format(Locale.ROOT, candidate.paceFactor)
        val prediction = candidate.firstEventMs?.let { ", first event in ${units(it)} ms" }
        val limit = candidate.limitPerSecond?.let { ", takes $it per s" }
        return "${candidate.id} in ${candidate.zone}: ${candidate.standing.replace('_', ' ')}, " +
            "$used of ${candidate.slots} slots (${candidate.ownRequests} from here), " +
            "pace $pace" + prediction.orEmpty() + limit.orEmpty()
    }
}
