package org.bronzetide.edge.forwarding

import java.io.IOException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull

/** Decides how long to wait for a target that sends nothing before another one is tried. */
internal sealed class StallPolicy {
    /**
     * Runs [block] under this policy. [isFirst] is `true` until the first event has arrived and
     * `false` in waits for later ones.
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
     * Looks for another target when this one has sent nothing for [firstEventTimeoutMs] or
     * [eventTimeoutMs] milliseconds.
     *
     * A sound target may fall silent for a while, so it is abandoned only once [replace] returns
     * `true`: another one has begun to respond. Until then, what it sends is still used and
     * cancels [replace]. If [replace] returns `false`, it is called again after another timeout.
     */
    class FailOver(
        val firstEventTimeoutMs: Long,
        val eventTimeoutMs: Long,
        val replace: suspend () -> Boolean
    ) : StallPolicy()

    private suspend fun <T> FailOver.awaitOrFailOver(timeoutMs: Long, block: suspend () -> T): T =
        coroutineScope {
            // A failure must not cancel a replacement that is under way.
            val work = async { runCatching { block() } }
            while (withTimeoutOrNull(timeoutMs) { work.join() } == null) {
                val replacement = async { replace() }
                select {
                    work.onJoin {}
                    replacement.onJoin {}
                }
                val failure = if (work.isCompleted) work.await().exceptionOrNull() else null
                if (work.isCompleted && failure == null) replacement.cancel()
                replacement.join()
                if (!replacement.isCancelled && replacement.await()) {
                    work.cancel()
                    throw TargetStalledException(failure)
                }
            }
            work.await().getOrThrow()
        }
}

/**
 * Another target has taken over from one that was silent, and that has also broken off meanwhile if
 * there is a [failure].
 */
internal class TargetStalledException(val failure: Throwable? = null) :
    IOException(failure?.message ?: "silent target")
