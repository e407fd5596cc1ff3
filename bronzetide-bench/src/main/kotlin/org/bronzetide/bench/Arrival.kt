package org.bronzetide.bench

/**
 * A request of the open-loop load: sent [atMs] after the start, regardless of earlier requests,
 * with a deadline [deadlineMs] after the send. Both are in real milliseconds, not simulated ones.
 */
internal data class Arrival(
    val index: Int,
    val atMs: Double,
    val caller: String,
    val kind: RequestKind,
    val tier: Int,
    val promptTokens: Int,
    val outputTokens: Int,
    val deadlineMs: Long,
    val prefixGroup: Int,
    val node: Int
)
