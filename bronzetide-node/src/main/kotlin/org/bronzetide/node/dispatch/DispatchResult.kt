package org.bronzetide.node.dispatch

import org.bronzetide.coordination.StoredResponse

/** How a dispatch to a target ended. */
internal sealed class DispatchResult {
    /** The target answered in full. */
    data class Finished(val response: StoredResponse, val usage: Usage) : DispatchResult()

    /** No connection could be made, so nothing was handed over. */
    data class NotSent(val detail: String) : DispatchResult()

    /** Something was handed over, and the answer is not complete. */
    data class Incomplete(val detail: String, val usage: Usage) : DispatchResult()
}

/** The work that a target did for a request, as far as the node saw it. */
internal data class Usage(
    val promptTokens: Int = 0,
    val outputTokens: Int = 0,
    val firstTokenMs: Long = 0,
    val durationMs: Long = 0
)
