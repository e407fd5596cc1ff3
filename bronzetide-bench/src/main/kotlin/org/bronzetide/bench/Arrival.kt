package org.bronzetide.bench

/** A request of the open-loop load. [atMs] and [deadlineMs] are in real milliseconds. */
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
