package org.bronzetide.coordination

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A request for the right to run the command named by [key] once. */
@Serializable
public data class KeyClaim(
    val key: String,
    /** A digest of the request, by which reuse of the key for another request is detected. */
    val fingerprint: String,
    /** The node that will dispatch the command. */
    val claimant: NodeId,
    /** Unique for each attempt, so that a claim that arrives twice is recognized. */
    val attempt: String,
    /** Earlier attempts of the same request that the claimant has abandoned for good. */
    val superseded: List<String> = emptyList()
)

/** The state of a claimed key. */
@Serializable
public sealed class KeyOutcome {
    /** The key is claimed. No result is known yet. */
    @Serializable
    public data object Pending : KeyOutcome()

    /** The command ended with [verdict]. [response] is `null` if it was too large to store. */
    @Serializable
    public data class Finished(
        val verdict: Verdict,
        @SerialName("answer") val response: StoredResponse?
    ) : KeyOutcome()
}

/** The response of a finished command, stored to be returned to retries. */
@Serializable
public data class StoredResponse(val status: Int, val contentType: String, val body: String)

/** The reply of a key's owner to a [KeyClaim]. */
@Serializable
public sealed class ClaimReply {
    /** The claimant may dispatch once, under the slot's [epoch]. */
    @Serializable
    public data class Granted(val epoch: Long) : ClaimReply()

    /** Another attempt holds the key. This attempt did not run. */
    @Serializable
    public data class Held(val outcome: KeyOutcome, val fingerprintMatches: Boolean) : ClaimReply()

    /** The owner lacks the key's history. This attempt did not run, an earlier one may have. */
    @Serializable
    @SerialName("org.bronzetide.coordination.ClaimReply.Forgotten")
    public data object HistoryUnknown : ClaimReply()

    /** This node does not own the key, or the successor did not confirm. Nothing was granted. */
    @Serializable
    public data object Unavailable : ClaimReply()
}
