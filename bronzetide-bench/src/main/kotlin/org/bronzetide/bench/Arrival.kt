package org.bronzetide.bench

/**
 * A request of the open-loop load: sent [atMs] after the start, whatever earlier requests do, with
 * [deadlineMs] to respond. Both are in real milliseconds, not in the accelerated engine time.
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
