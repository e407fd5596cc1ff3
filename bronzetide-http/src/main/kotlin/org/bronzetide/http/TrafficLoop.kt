package org.bronzetide.http

import java.io.IOException
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
 * The thread for traffic: it waits for sockets and timers, and runs the coroutines that use them.
 *
 * A coroutine that reads a socket is resumed by the thread that waited for it. With a selector, a
 * pool of workers and a timer thread of their own, each piece of a stream would pass through four
 * threads, which on a host with a part of a core costs more than the work itself.
 *
 * Coroutines on it must not block.
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
    private val isAsleep = AtomicBoolean()

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

    /** Ends the thread after what is due now. */
    override fun close() {
        isOpen = false
        selector.wakeup()
    }

    /** Lets the thread notice what another thread changed on a channel. */
    internal fun wakeUp() {
        if (Thread.currentThread() !== thread && isAsleep.getAndSet(false)) selector.wakeup()
    }

    /** Calls [onReady] on the thread for traffic when [channel] is ready for what its key asks. */
    internal fun register(channel: SelectableChannel, onReady: (SelectionKey) -> Unit) =
        channel.register(selector, 0, onReady)

    private fun run() {
        while (isOpen) {
            runTasks()
            runDueTimers()
            isAsleep.set(true)
            val waitMs = if (tasks.isEmpty()) timeToNextMs() else 0
            try {
                if (waitMs == 0L) {
                    selector.selectNow(::onReady)
                } else {
                    selector.select(::onReady, waitMs)
                }
            } catch (cause: IOException) {
                log.error("waiting for sockets failed", cause)
            }
            isAsleep.set(false)
        }
        while (true) runTask(tasks.poll() ?: break)
        selector.close()
    }

    private fun runTasks() {
        repeat(TASKS_BETWEEN_WAITS) { runTask(tasks.poll() ?: return) }
    }

    private fun runDueTimers() {
        while (true) {
            val timer = timers.firstOrNull()?.takeIf { it.dueNs - System.nanoTime() <= 0 } ?: return
            if (timers.remove(timer)) runTask(timer.action)
        }
    }

    @Suppress("TooGenericExceptionCaught") // The loop outlives whatever a coroutine throws.
    private fun runTask(task: Runnable) = try {
        task.run()
    } catch (cause: Exception) {
        log.error("task failed", cause)
    }

    /** The time to the next timer in milliseconds; [FOREVER_MS] if there is none. */
    private fun timeToNextMs(): Long {
        val next = timers.firstOrNull() ?: return FOREVER_MS
        val leftNs = next.dueNs - System.nanoTime()
        return if (leftNs <= 0) 0 else leftNs / NS_PER_MS + 1
    }

    @Suppress("UNCHECKED_CAST")
    private fun onReady(key: SelectionKey) = try {
        (key.attachment() as (SelectionKey) -> Unit)(key)
    } catch (_: CancelledKeyException) {
        // Another thread has just closed the channel, which ends those who wait for it.
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
        /** So that a flood of tasks does not keep the thread from its sockets. */
        const val TASKS_BETWEEN_WAITS = 256
        const val NS_PER_MS = 1_000_000L

        /** A year. */
        const val FOREVER_MS = 31_536_000_000L
    }
}
