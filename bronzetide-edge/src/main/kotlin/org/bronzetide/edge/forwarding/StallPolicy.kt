package org.bronzetide.edge.forwarding

import java.io.IOException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull

/** Says when a silent target is left for another one. */
internal sealed class StallPolicy {
    /** Waits for [block] as long as this allows. */
    suspend fun <T> await(isFirst: Boolean, block: suspend () -> T): T = when (this) {
        is WaitUntilDeadline -> block()
        is FailOver -> awaitLimited(if (isFirst) firstEventTimeoutMs else eventTimeoutMs, block)
    }

    /** The target is waited for until the request's own time is over. */
    data object WaitUntilDeadline : StallPolicy()

    /**
     * Abandons the target when a timeout, in milliseconds, has passed and [tryReserveRetry]
     * reserves a retry. Without a retry it keeps waiting, since a late response is worth more than
     * none.
     */
    class FailOver(
        val firstEventTimeoutMs: Long,
        val eventTimeoutMs: Long,
        val tryReserveRetry: () -> Boolean
    ) : StallPolicy()

    private suspend fun <T> FailOver.awaitLimited(limitMs: Long, block: suspend () -> T): T =
        coroutineScope {
            val work = async { block() }
            while (withTimeoutOrNull(limitMs) { work.join() } == null) {
                if (tryReserveRetry()) throw TargetStalledException()
            }
            work.await()
        }
}

/** A target sent nothing for so long that the request is sent to another one. */
internal class TargetStalledException : IOException("silent target")
