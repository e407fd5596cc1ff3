package org.bronzetide.edge.forwarding

import org.bronzetide.http.Header

/** The outcome of sending a request to one target once. */
internal sealed class SendResult {
    /** The complete response of the target; nothing of it has been sent to the caller yet. */
    class Answer(val status: Int, val headers: List<Header>, val body: ByteArray) : SendResult() {
        override fun toString(): String = "Answer(status=$status, bytes=${body.size})"
    }

    /** The stream was relayed to the caller to its end. */
    data object Streamed : SendResult()

    /** The target did not run the request: nothing was sent, or the target refused it. */
    data class NotRun(val reason: String) : SendResult()

    /** The request was sent, but no complete and valid response arrived. */
    data class MayHaveRun(val reason: String) : SendResult()
}
