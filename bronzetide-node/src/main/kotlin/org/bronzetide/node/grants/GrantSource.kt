package org.bronzetide.node.grants

import org.bronzetide.coordination.RefusalReason
import org.bronzetide.model.CallerId
import org.bronzetide.model.PoolId
import org.bronzetide.model.RequestPolicy
import org.bronzetide.model.TargetId
import org.bronzetide.scheduling.Release

/** Decides when a request may be dispatched, and to which target. */
internal interface GrantSource {
    /**
     * Suspends until [request] is granted or refused. A grant that arrives after the wait was
     * cancelled is released unused.
     */
    suspend fun acquire(request: GrantRequest): GrantResult

    /** Records that the first token of the request under [grant] has arrived. */
    fun onFirstToken(grant: DispatchGrant)

    /** Ends [grant] with the outcome of its dispatch; called exactly once for each grant. */
    fun release(grant: DispatchGrant, release: Release)
}

/** A request to dispatch, as the scheduler sees it. */
internal data class GrantRequest(
    val pool: PoolId,
    val caller: CallerId,
    val operation: String,
    val policy: RequestPolicy,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    val prefixHash: Long,
    /** The time by which the response must be complete, in milliseconds of the node's clock. */
    val deadlineAtMs: Long,
    /** Targets that could not be reached for this request. */
    val avoid: Set<TargetId> = emptySet()
)

/** Permission to dispatch the request of ticket [sequence] once, to [target]. */
internal data class DispatchGrant(val shard: PoolShard, val sequence: Long, val target: TargetId)

/** The outcome of [GrantSource.acquire]. */
internal sealed class GrantResult {
    /** The request may be dispatched. */
    data class Granted(val grant: DispatchGrant) : GrantResult()

    /** The request is refused and did not run; a retry may succeed after [retryAfterMs]. */
    data class Refused(val reason: RefusalReason, val retryAfterMs: Long) : GrantResult()
}
