package org.bronzetide.edge.forwarding

import java.io.IOException
import kotlinx.coroutines.Deferred
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

        is FailOver -> if (isFirst) {
            awaitOrFailOver(firstEventTimeoutMs, hedge, block)
        } else {
            awaitOrFailOver(eventTimeoutMs, null, block)
        }
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
     *
     * The [hedge], if there is one, is a replacement that is tried earlier, once.
     */
    class FailOver(
        val firstEventTimeoutMs: Long,
        val eventTimeoutMs: Long,
        val hedge: Hedge? = null,
        val replace: suspend () -> Boolean
    ) : StallPolicy()

    /** A second run of a request whose first run is slower than usual. */
    interface Hedge {
        /** The time until the hedge is due, in milliseconds; `null` if none is to be sent. */
        fun dueInMs(): Long?

        /** Sends the hedge if that is allowed, and returns whether it has responded. */
        suspend fun run(): Boolean

        /** The first run has come to [outcome] while the hedge was in progress. */
        fun onFirstRun(outcome: RunOutcome)
    }

    private suspend fun <T> FailOver.awaitOrFailOver(
        timeoutMs: Long,
        hedge: Hedge?,
        block: suspend () -> T
    ): T = coroutineScope {
        // A failure must not cancel a replacement that is under way.
        val work = async { runCatching { block() } }
        var waitMs = timeoutMs
        val hedgeInMs = hedge?.dueInMs()?.coerceAtLeast(1)
        if (hedgeInMs != null && hedgeInMs < timeoutMs) {
            waitMs -= hedgeInMs
            if (withTimeoutOrNull(hedgeInMs) { work.join() } == null) runHedge(hedge, work)
        }
        while (withTimeoutOrNull(waitMs) { work.join() } == null) {
            waitMs = timeoutMs
            if (isReplaced(work) { replace() }) abandon(work, isHedged = false)
        }
        work.await().getOrThrow()
    }

    private suspend fun <T> runHedge(hedge: Hedge, work: Deferred<Result<T>>) {
        var outcome = RunOutcome.CANCELLED
        try {
            val isReplaced = isReplaced(work) { hedge.run() }
            outcome = when {
                work.isCompleted && work.await().isFailure -> RunOutcome.FAILED
                isReplaced -> RunOutcome.CANCELLED
                work.isCompleted -> RunOutcome.RESPONDED
                else -> RunOutcome.CONTINUED
            }
            if (isReplaced) abandon(work, isHedged = true)
        } finally {
            hedge.onFirstRun(outcome)
        }
    }

    /** Runs [other] until it or [work] has responded; returns whether [other] takes over. */
    private suspend fun <T> isReplaced(
        work: Deferred<Result<T>>,
        other: suspend () -> Boolean
    ): Boolean = coroutineScope {
        val replacement = async { other() }
        select {
            work.onJoin {}
            replacement.onJoin {}
        }
        if (work.isCompleted && work.await().isSuccess) replacement.cancel()
        replacement.join()
        !replacement.isCancelled && replacement.await()
    }

    private suspend fun <T> abandon(work: Deferred<Result<T>>, isHedged: Boolean): Nothing {
        val failure = if (work.isCompleted) work.await().exceptionOrNull() else null
        work.cancel()
        throw TargetStalledException(failure, isHedged)
    }
}

/** How one of two concurrent runs of a request ended, or that it went on alone. */
internal enum class RunOutcome { RESPONDED, CANCELLED, FAILED, CONTINUED }

/**
 * Another target has taken over from one that was silent, and that has also broken off meanwhile if
 * there is a [failure]. If [isHedged], the target was only slower than usual.
 */
internal class TargetStalledException(val failure: Throwable? = null, val isHedged: Boolean) :
    IOException(failure?.message ?: if (isHedged) "slower than its hedge" else "silent target")
