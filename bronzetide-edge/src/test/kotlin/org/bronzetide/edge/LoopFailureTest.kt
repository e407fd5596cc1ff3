package org.bronzetide.edge

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.coroutines.EmptyCoroutineContext
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.http.TrafficLoop

/** Failures in the loops of a process that cannot even be logged, as memory or stack is used up. */
class LoopFailureTest {
    private class UnloggableException : RuntimeException() {
        override val message: String get() = throw StackOverflowError("on purpose")
    }

    /** Guards against a process that runs and answers nobody, as its traffic thread has ended. */
    @Example
    fun trafficLoopRunsOnAfterAFailureThatCannotBeLogged() = TrafficLoop().use { loop ->
        val isRun = CountDownLatch(1)
        loop.dispatch(EmptyCoroutineContext) { throw UnloggableException() }
        // Not in the same pass of the loop.
        Thread.sleep(100)
        loop.dispatch(EmptyCoroutineContext) { isRun.countDown() }
        assertThat(isRun.await(3, TimeUnit.SECONDS)).isTrue()
    }

    /** Guards against timers that do not run again, as nothing else wakes the control thread. */
    @Example
    fun timersRunOnAfterAFailureThatCannotBeLogged() =
        ControlLoop(MonotonicClock.System).use { control ->
            val runs = AtomicInteger()
            val isRunAgain = CountDownLatch(2)
            control.start()
            control.post {
                control.timers.every(20) {
                    isRunAgain.countDown()
                    if (runs.incrementAndGet() == 1) throw UnloggableException()
                }
            }
            assertThat(isRunAgain.await(3, TimeUnit.SECONDS)).isTrue()
        }
}
