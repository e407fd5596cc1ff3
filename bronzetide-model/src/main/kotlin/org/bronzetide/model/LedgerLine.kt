package org.bronzetide.model

import kotlinx.serialization.Serializable

/** The billing record of one dispatched request. */
@Serializable
public data class LedgerLine(
    val requestId: RequestId,
    val caller: CallerId,
    val pool: PoolId,
    val tier: Int,
    val target: TargetId,
    val operation: String,
    val promptTokens: Int,
    /** The output tokens reported by the target or relayed to the caller, whichever is larger. */
    val outputTokens: Int,
    val verdict: String,
    /** The wall-clock time of the dispatch, in milliseconds since the Unix epoch. */
    val dispatchedAtMs: Long,
    val durationMs: Long,
    val traceId: String = ""
)
