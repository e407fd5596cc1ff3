package org.bronzetide.model

import kotlinx.serialization.Serializable

/** The bill's record of one dispatched request. */
@Serializable
public data class LedgerLine(
    val requestId: RequestId,
    val caller: CallerId,
    val pool: PoolId,
    val tier: Int,
    val target: TargetId,
    val operation: String,
    val promptTokens: Int,
    /** Output tokens that the target reported or that were passed on, whichever is larger. */
    val outputTokens: Int,
    val verdict: String,
    /** Wall-clock time of the dispatch, in milliseconds since 1970. */
    val dispatchedAtMs: Long,
    val durationMs: Long,
    val traceId: String = ""
)
