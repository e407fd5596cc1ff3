package org.bronzetide.node.grants

import org.bronzetide.coordination.RefusalReason
import org.bronzetide.model.CallerId
import org.bronzetide.model.PoolId
import org.bronzetide.model.RequestPolicy
import org.bronzetide.model.TargetId
import org.bronzetide.scheduling.Release

/** Decides when and where a request may be dispatched. */
internal interface GrantSource {
    /** Waits for a turn. A cancelled wait gives the turn back. */
    suspend fun acquire(request: GrantRequest): GrantResult

    /** Notes that the request of a granted turn has its first token. */
    fun onFirstToken(grant: DispatchGrant)

    /** Ends a granted turn; called once for each. */
    fun release(grant: DispatchGrant, release: Release)
}

/** What a turn is asked for. */
internal data class GrantRequest(
    val pool: PoolId,
    val caller: CallerId,
    val operation: String,
    val policy: RequestPolicy,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    val prefixHash: Long,
    /** The time by which the answer must be complete, on the node's clock. */
    val deadlineAtMs: Long,
    val avoid: Set<TargetId> = emptySet()
)

/** A granted turn: the request may be dispatched once, to [target]. */
internal data class DispatchGrant(val shard: PoolShard, val sequence: Long, val target: TargetId)

/** The outcome of asking for a turn. */
internal sealed class GrantResult {
    /** The request may be dispatched. */
    data class Granted(val grant: DispatchGrant) : GrantResult()

    /** The request is refused and did not run. */
    data class Refused(val reason: RefusalReason, val retryAfterMs: Long) : GrantResult()
}
