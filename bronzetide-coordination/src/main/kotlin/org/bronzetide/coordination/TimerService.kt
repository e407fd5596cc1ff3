package org.bronzetide.coordination

import java.util.PriorityQueue

/**
 * Runs one-shot and periodic actions when they are due.
 *
 * The service has no thread of its own: its owner calls [runDue] and may sleep until [nextDueMs].
 * It is not thread-safe. Actions run in order of their due times, those with the same due time in
 * order of subscription. A periodic action that was due several times while the owner was paused
 * runs once and then continues with its period.
 */
public class TimerService(private val clock: MonotonicClock) {
    private val queue = PriorityQueue<Timer>(compareBy<Timer> { it.dueMs }.thenBy { it.order })
    private var nextOrder = 0L

    /** The time of the clock at which the next action is due, or `null` if there is none. */
    public val nextDueMs: Long? get() = queue.peek()?.dueMs

    /**
     * Runs [action] every [periodMs] milliseconds, the first time after one period.
     *
     * @throws IllegalArgumentException if [periodMs] is not positive.
     */
    public fun every(periodMs: Long, action: () -> Unit): Subscription {
        require(periodMs > 0) { "periodMs must be positive, but was $periodMs" }
        return schedule(periodMs, periodMs, action)
    }

    /** Runs [action] once, [delayMs] milliseconds from now. */
    public fun after(delayMs: Long, action: () -> Unit): Subscription =
        schedule(delayMs, null, action)

    /** Runs every action that is due now. */
    public fun runDue() {
        val nowMs = clock.nowMs()
        while (true) {
            val timer = queue.peek()?.takeIf { it.dueMs <= nowMs } ?: return
            queue.poll()
            if (timer.cancelled) continue
            timer.periodMs?.let { queue.add(timer.next(maxOf(timer.dueMs + it, nowMs + 1))) }
            timer.action()
        }
    }

    private fun schedule(delayMs: Long, periodMs: Long?, action: () -> Unit): Subscription {
        val timer = Timer(clock.nowMs() + delayMs, nextOrder++, periodMs, Subscription(), action)
        queue.add(timer)
        return timer.subscription
    }

    /** A subscribed action. */
    public class Subscription internal constructor() {
        internal var cancelled: Boolean = false

        /** Cancels the subscription. The action no longer runs. Cancelling again has no effect. */
        public fun cancel() {
            cancelled = true
        }
    }

    private class Timer(
        val dueMs: Long,
        val order: Long,
        val periodMs: Long?,
        val subscription: Subscription,
        val action: () -> Unit
    ) {
        val cancelled: Boolean get() = subscription.cancelled

        fun next(dueMs: Long) = Timer(dueMs, order, periodMs, subscription, action)
    }
}
