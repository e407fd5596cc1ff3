package org.bronzetide.coordination

import java.util.concurrent.Executors
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.slf4j.LoggerFactory

/** The one thread that owns the node's control state, and the timers that run on it. */
public class ControlLoop(private val clock: MonotonicClock) : AutoCloseable {
    private val log = LoggerFactory.getLogger(ControlLoop::class.java)
    private val dispatcher = Executors.newSingleThreadExecutor { task ->
        Thread(task, "control").apply { isDaemon = true }
    }.asCoroutineDispatcher()
    private val failures =
        CoroutineExceptionHandler { _, cause -> log.error("control failure", cause) }

    /** Coroutines started here run on the control thread. */
    public val scope: CoroutineScope = CoroutineScope(SupervisorJob() + dispatcher + failures)

    /** Timers whose actions run on the control thread. */
    public val timers: TimerService = TimerService(clock)

    /** Starts running the timers. */
    public fun start() {
        scope.launch {
            while (true) {
                runCatching { timers.runDue() }.onFailure { log.error("timer failure", it) }
                val waitMs = (timers.nextDueMs ?: Long.MAX_VALUE) - clock.nowMs()
                delay(waitMs.coerceIn(1, MAX_SLEEP_MS))
            }
        }
    }

    /** Runs [action] on the control thread, soon. */
    public fun post(action: () -> Unit) {
        scope.launch { action() }
    }

    /** Runs [action] on the control thread and returns its result. */
    public suspend fun <T> call(action: () -> T): T = withContext(dispatcher) { action() }

    override fun close() {
        scope.cancel()
        dispatcher.close()
    }

    private companion object {
        const val MAX_SLEEP_MS = 100L
    }
}
