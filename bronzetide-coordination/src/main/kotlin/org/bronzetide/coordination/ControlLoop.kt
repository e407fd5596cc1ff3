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

/** The one thread that owns the node's control state, and the timers that run on it. */
public class ControlLoop(private val clock: MonotonicClock) : AutoCloseable {
    private val log = LoggerFactory.getLogger(ControlLoop::class.java)
    private val executor = ScheduledThreadPoolExecutor(1) { task ->
        Thread(task, "control").apply { isDaemon = true }
    }.apply {
        removeOnCancelPolicy = true
        executeExistingDelayedTasksAfterShutdownPolicy = false
    }
    private val dispatcher = executor.asCoroutineDispatcher()
    private val failures =
        CoroutineExceptionHandler { _, cause -> log.error("control failure", cause) }

    /** When the thread next looks for due timers. */
    private var wakesAtMs = Long.MAX_VALUE
    private var isStarted = false

    /** Coroutines started here run on the control thread. */
    public val scope: CoroutineScope = CoroutineScope(SupervisorJob() + dispatcher + failures)

    /** Timers whose actions run on the control thread. */
    public val timers: TimerService = TimerService(clock)

    /** Starts running the timers. */
    public fun start(): Unit = post {
        isStarted = true
    }

    /** Runs [action] on the control thread, soon. */
    public fun post(action: () -> Unit) {
        try {
            executor.execute { runLogged(action) }
        } catch (_: RejectedExecutionException) {
            log.debug("left out, since the control thread has ended")
        }
    }

    /** Runs [action] on the control thread and returns its result. */
    public suspend fun <T> call(action: () -> T): T = withContext(dispatcher) {
        action().also { wakeForTimers() }
    }

    override fun close() {
        scope.cancel()
        dispatcher.close()
    }

    private fun runLogged(action: () -> Unit) {
        runCatching(action).onFailure { log.error("control failure", it) }
        wakeForTimers()
    }

    private fun wakeForTimers() {
        val dueMs = timers.nextDueMs ?: return
        if (!isStarted || dueMs >= wakesAtMs || executor.isShutdown) return
        wakesAtMs = dueMs
        val waitMs = (dueMs - clock.nowMs()).coerceAtLeast(0)
        executor.schedule(
            {
                wakesAtMs = Long.MAX_VALUE
                runLogged(timers::runDue)
            },
            waitMs,
            TimeUnit.MILLISECONDS
        )
    }
}
