package org.bronzetide.coordination

import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.withContext
import org.slf4j.LoggerFactory

/**
 * A single-threaded event loop that owns the control state of a node.
 *
 * Tasks, coroutines and timers of the loop all run on its one thread, so the state that only they
 * access needs no locks.
 */
public class ControlLoop(private val clock: MonotonicClock) : AutoCloseable {
    private val log = LoggerFactory.getLogger(ControlLoop::class.java)
    private val executor = ScheduledThreadPoolExecutor(1) { task ->
        Thread(task, "control").apply { isDaemon = true }
    }.apply {
        removeOnCancelPolicy = true
        executeExistingDelayedTasksAfterShutdownPolicy = false
    }
    private val dispatcher = executor.asCoroutineDispatcher()
    private val exceptionHandler = CoroutineExceptionHandler { _, cause ->
        log.error("uncaught exception on the control thread", cause)
    }

    /** The time of the next scheduled timer run, or [Long.MAX_VALUE] if none is scheduled. */
    private var nextWakeUpMs = Long.MAX_VALUE
    private var isStarted = false

    /** The scope of coroutines that run on the control thread. [close] cancels them. */
    public val scope: CoroutineScope =
        CoroutineScope(SupervisorJob() + dispatcher + exceptionHandler)

    /** Timers whose actions run on the control thread once the loop is started. */
    public val timers: TimerService = TimerService(clock)

    /** Starts running due timers. */
    public fun start(): Unit = post {
        isStarted = true
    }

    /**
     * Queues [action] for the control thread and returns at once.
     *
     * An exception from [action] is logged. After [close] the action is dropped.
     */
    public fun post(action: () -> Unit) {
        try {
            executor.execute { runLogged(action) }
        } catch (_: RejectedExecutionException) {
            log.debug("dropped a task: the control thread has shut down")
        }
    }

    /** Runs [action] on the control thread and returns its result, or throws its exception. */
    public suspend fun <T> call(action: () -> T): T = withContext(dispatcher) {
        action().also { scheduleWakeUp() }
    }

    override fun close() {
        scope.cancel()
        dispatcher.close()
    }

    private fun runLogged(action: () -> Unit) {
        try {
            runCatching(action).onFailure {
                log.error("uncaught exception on the control thread", it)
            }
        } finally {
            // Also if the log lacks memory or stack; no one else may wake the thread.
            scheduleWakeUp()
        }
    }

    private fun scheduleWakeUp() {
        val dueMs = timers.nextDueMs ?: return
        if (!isStarted || dueMs >= nextWakeUpMs || executor.isShutdown) return
        nextWakeUpMs = dueMs
        val delayMs = (dueMs - clock.nowMs()).coerceAtLeast(0)
        executor.schedule(
            {
                nextWakeUpMs = Long.MAX_VALUE
                runLogged(timers::runDue)
            },
            delayMs,
            TimeUnit.MILLISECONDS
        )
    }
}
