package org.bronzetide.cli

import kotlinx.serialization.Serializable

/** What would happen to a request that arrives at a host now, as the host explains it. */
@Serializable
data class Explanation(
    val node: String,
    val method: String,
    val services: List<Service>,
    val manifestVersion: Long? = null,
    val route: String? = null,
    val account: String? = null,
    /** 0 is the most urgent. */
    val priority: Int? = null,
    val quota: Quota? = null,
    /** Set if the request would be refused before it is queued. */
    val refusal: Refusal? = null
) {
    /** A refusal with [status] before the request is queued. */
    @Serializable
    data class Refusal(val status: Int, val reason: String)

    /** The account's quota in units, and what the request takes of it. */
    @Serializable
    data class Quota(
        val perS: Double,
        val burst: Double,
        val units: Long,
        /** What this host may spend; `null` if the account has not been used there. */
        val spendable: Double? = null,
        /** What must be left for a request of the account. */
        val threshold: Double? = null,
        /** The share of the rate that this host may grant; 1 if it hears of all others. */
        val rateShare: Double? = null,
        val updateAgeMs: Long? = null
    )

    /** The decision if the request is assigned to [service]. */
    @Serializable
    data class Service(
        val service: String,
        /** The service's share of the route's requests. */
        val share: Double,
        val verdict: String,
        val rank: Int,
        /** `within`, `above` or `far_above`: what the account got, compared with others. */
        val accountShare: String,
        val ahead: Int,
        val ownDemand: Int,
        val ownShareUsed: Boolean,
        val sampled: Boolean,
        val candidates: List<Candidate>,
        val target: String? = null,
        val reason: String? = null,
        val maxWaitMs: Long? = null,
        val peerDemand: Int? = null
    )

    /** A target of the service, and whether it may get the request. */
    @Serializable
    data class Candidate(
        val id: String,
        val zone: String,
        val standing: String,
        val ownRequests: Int,
        val peerRequests: Int,
        val slots: Int,
        /** How many times longer than usual the target takes. */
        val paceFactor: Double,
        val firstEventMs: Double? = null,
        val limitPerSecond: Double? = null
    )
}
