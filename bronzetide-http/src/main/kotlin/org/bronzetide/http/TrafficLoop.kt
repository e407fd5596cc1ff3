package org.bronzetide.http

import java.nio.channels.CancelledKeyException
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.ConcurrentSkipListSet
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.coroutines.CoroutineContext
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import org.slf4j.LoggerFactory

/**
 * The event loop for network I/O: a single thread that selects on sockets, fires timers, and runs
 * the coroutines that use them.
 *
 * A coroutine that reads a socket resumes on the thread that selected it. With separate threads for
 * the selector, workers and timers, each chunk of a stream would pass through four threads, which
 * costs more than the work itself on a host with a fraction of a core.
 *
 * Coroutines on this dispatcher must not block.
 */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
public class TrafficLoop(name: String = "traffic") :
    CoroutineDispatcher(),
    Delay,
    AutoCloseable {
    private val log = LoggerFactory.getLogger(TrafficLoop::class.java)
    private val selector = Selector.open()
    private val tasks = ConcurrentLinkedQueue<Runnable>()
    private val timers = ConcurrentSkipListSet<Timer>()
    private val timerOrder = AtomicLong()
    private val isSelecting = AtomicBoolean()

    @Volatile
    private var isOpen = true
    private val thread = thread(start = false, isDaemon = true, name = name) { run() }

    init {
        thread.start()
    }

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        if (!isOpen && !thread.isAlive) return Dispatchers.Default.dispatch(context, block)
        tasks.add(block)
        wakeUp()
    }

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>
    ) {
        val timer = schedule(timeMillis) {
            with(continuation) { resumeUndispatched(Unit) }
        }
        continuation.invokeOnCancellation { timer.dispose() }
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext
    ): DisposableHandle = schedule(timeMillis, block)

    /** Stops the thread after it has run the queued tasks. */
    override fun close() {
        isOpen = false
        selector.wakeup()
    }

    /** Interrupts a select, so that the loop sees changes by other threads. */
    internal fun wakeUp() {
        if (Thread.currentThread() !== thread && isSelecting.getAndSet(false)) selector.wakeup()
    }

    /** Calls [onReady] on the loop's thread when [channel] is ready for its key's interest set. */
    internal fun register(channel: SelectableChannel, onReady: (SelectionKey) -> Unit) =
        channel.register(selector, 0, onReady)

    private fun run() {
        while (isOpen) {
            try {
                runTasks()
                runDueTimers()
                select()
            } catch (cause: Throwable) {
                logFailure("pass of the traffic loop failed", cause)
            }
        }
        while (true) runTask(tasks.poll() ?: break)
        selector.close()
    }

    private fun select() {
        isSelecting.set(true)
        try {
            val waitMs = if (tasks.isEmpty()) timeToNextTimerMs() else 0
            if (waitMs == 0L) {
                selector.selectNow(::onReady)
            } else {
                selector.select(::onReady, waitMs)
            }
        } finally {
            isSelecting.set(false)
        }
    }

    private fun runTasks() {
        repeat(MAX_TASKS_BETWEEN_SELECTS) { runTask(tasks.poll() ?: return) }
    }

    private fun runDueTimers() {
        while (true) {
            val timer = timers.firstOrNull()?.takeIf { it.dueNs - System.nanoTime() <= 0 } ?: return
            if (timers.remove(timer)) runTask(timer.action)
        }
    }

    /** Runs [task]; the loop survives whatever it throws, since nothing would start it again. */
    private fun runTask(task: Runnable) = try {
        task.run()
    } catch (cause: Throwable) {
        logFailure("task on the traffic loop failed", cause)
    }

    private fun logFailure(message: String, cause: Throwable) = try {
        log.error(message, cause)
    } catch (_: Throwable) {
        // Logging needs memory and stack, too, and nothing would start the loop again.
    }

    /** The milliseconds until the next timer is due, or [FOREVER_MS] without a timer. */
    private fun timeToNextTimerMs(): Long {
        val next = timers.firstOrNull() ?: return FOREVER_MS
        val remainingNs = next.dueNs - System.nanoTime()
        return if (remainingNs <= 0) 0 else remainingNs / NS_PER_MS + 1
    }

    @Suppress("UNCHECKED_CAST")
    private fun onReady(key: SelectionKey) = try {
        (key.attachment() as (SelectionKey) -> Unit)(key)
    } catch (_: CancelledKeyException) {
        // Another thread has just closed the channel, and its close fails the waiting coroutines.
    }

    private fun schedule(delayMs: Long, action: Runnable): Timer {
        val delayNs = TimeUnit.MILLISECONDS.toNanos(delayMs.coerceIn(0, FOREVER_MS))
        val timer = Timer(System.nanoTime() + delayNs, timerOrder.incrementAndGet(), action)
        timers.add(timer)
        wakeUp()
        return timer
    }

    private inner class Timer(val dueNs: Long, val order: Long, val action: Runnable) :
        Comparable<Timer>,
        DisposableHandle {
        override fun compareTo(other: Timer): Int {
            val byTime = (dueNs - other.dueNs).compareTo(0)
            return if (byTime != 0) byTime else order.compareTo(other.order)
        }

        override fun dispose() {
            timers.remove(this)
        }
    }

    private companion object {
        /** Prevents a flood of tasks from starving the sockets. */
        const val MAX_TASKS_BETWEEN_SELECTS = 256
        const val NS_PER_MS = 1_000_000L

        /** One year; longer delays are cut to it. */
        const val FOREVER_MS = 31_536_000_000L
    }
}
