package org.bronzetide.node.dispatch

import org.bronzetide.coordination.StoredResponse

/** How a dispatch to a target ended. */
internal sealed class DispatchResult {
    /** The target responded in full. */
    data class Finished(val response: StoredResponse, val usage: Usage) : DispatchResult()

    /** No connection could be made, so the request was not sent. */
    data class NotSent(val detail: String) : DispatchResult()

    /** The request may have been sent, but no complete response was received. */
    data class Incomplete(val detail: String, val usage: Usage) : DispatchResult()
}

/**
 * The tokens and time that a target spent on a request, as far as the node observed them. Times are
 * in milliseconds since the dispatch.
 */
internal data class Usage(
    val promptTokens: Int = 0,
    val outputTokens: Int = 0,
    val firstTokenMs: Long = 0,
    val durationMs: Long = 0
)
