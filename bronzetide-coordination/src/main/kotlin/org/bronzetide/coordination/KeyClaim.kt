package org.bronzetide.coordination

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A request to run the command named by [key] once, from the node that will dispatch it. */
@Serializable
public data class KeyClaim(
    val key: String,
    /** A digest of the request, so that a key cannot be reused for another one. */
    val fingerprint: String,
    val claimant: NodeId,
    /** Unique for each attempt, so that a claim sent twice is recognised. */
    val attempt: String,
    /** Earlier attempts of the same request that the claimant has given up and will never use. */
    val superseded: List<String> = emptyList()
)

/** What is known of a claimed key. */
@Serializable
public sealed class KeyOutcome {
    /** The claimant may dispatch; no result is known yet. */
    @Serializable
    public data object Pending : KeyOutcome()

    /** The command ended with [verdict]; [answer] is kept if it was small enough. */
    @Serializable
    public data class Finished(
        val verdict: Verdict,
        @SerialName("answer") val response: StoredResponse?
    ) : KeyOutcome()
}

/** The answer of a finished command. */
@Serializable
public data class StoredResponse(val status: Int, val contentType: String, val body: String)

/** The authority's reply to a [KeyClaim]. */
@Serializable
public sealed class ClaimReply {
    /** The claimant may dispatch once, under the slot's [epoch]. */
    @Serializable
    public data class Granted(val epoch: Long) : ClaimReply()

    /** Another attempt holds the key; this one did not run. */
    @Serializable
    public data class Held(val outcome: KeyOutcome, val fingerprintMatches: Boolean) : ClaimReply()

    /** The authority has no memory of earlier claims: this attempt did not run, one may have. */
    @Serializable
    @SerialName("org.bronzetide.coordination.ClaimReply.Forgotten")
    public data object HistoryUnknown : ClaimReply()

    /** This node is not the authority, or cannot reach its successor; nothing was granted. */
    @Serializable
    public data object Unavailable : ClaimReply()
}
