package org.bronzetide.edge.forwarding

import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.job

/**
 * Ends the attempts that are in progress shortly before the process ends, so that each request
 * still gets an answer: a refusal if it has not run, and otherwise one that promises nothing.
 */
internal class ProcessEnd {
    private val running = ConcurrentHashMap.newKeySet<Job>()

    /** Whether [end] was called. */
    @Volatile
    var isReached = false
        private set

    /** Runs [block] until it ends or the process is about to end. */
    suspend fun runUntilEnd(block: suspend () -> Unit) {
        try {
            coroutineScope {
                val job = coroutineContext.job
                running += job
                try {
                    // The end may have come before the job was added.
                    if (isReached) throw EndException()
                    block()
                } finally {
                    running -= job
                }
            }
        } catch (_: EndException) {
            // The caller is told the result so far.
        }
    }

    /** Ends what is running, and what is begun later. */
    fun end() {
        isReached = true
        running.forEach { it.cancel(EndException()) }
    }

    private class EndException : CancellationException("the process ends")
}
