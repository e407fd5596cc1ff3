package org.bronzetide.edge.forwarding

import java.io.IOException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull

/** Decides how long to wait for a target that sends nothing before another one is tried. */
internal sealed class StallPolicy {
    /**
     * Runs [block] under this policy; [isFirst] tells a wait for the first event from later ones.
     *
     * @throws TargetStalledException if the target is abandoned for another one.
     */
    suspend fun <T> await(isFirst: Boolean, block: suspend () -> T): T = when (this) {
        is WaitUntilDeadline -> block()
        is FailOver -> awaitOrFailOver(if (isFirst) firstEventTimeoutMs else eventTimeoutMs, block)
    }

    /** Waits for the target until the request's own deadline. */
    data object WaitUntilDeadline : StallPolicy()

    /**
     * Abandons the target when it has sent nothing for a timeout, in milliseconds, and
     * [tryReserveRetry] reserves a retry. Otherwise it keeps waiting and tries again after another
     * timeout, since a late response is worth more than none.
     */
    class FailOver(
        val firstEventTimeoutMs: Long,
        val eventTimeoutMs: Long,
        val tryReserveRetry: () -> Boolean
    ) : StallPolicy()

    private suspend fun <T> FailOver.awaitOrFailOver(timeoutMs: Long, block: suspend () -> T): T =
        coroutineScope {
            val work = async { block() }
            while (withTimeoutOrNull(timeoutMs) { work.join() } == null) {
                if (tryReserveRetry()) throw TargetStalledException()
            }
            work.await()
        }
}

/** The target sent nothing for so long that the request is retried at another one. */
internal class TargetStalledException : IOException("silent target")
