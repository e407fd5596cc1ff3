package org.bronzetide.scheduling

import java.util.TreeMap
import java.util.TreeSet
import org.bronzetide.model.CallerId

/**
 * The waiting tickets of one tier, served so that backlogged callers get shares of tokens in
 * proportion to their weights.
 *
 * Each caller has a counter of the tokens served to it, divided by its weight; the caller with the
 * lowest counter is served next. The counter of a caller that returns from idleness is raised to
 * the lowest one of the backlogged callers, so that idle time earns no credit. Without [isFair],
 * all callers share one queue, served in order of arrival.
 *
 * Source: Sheng et al., "Fairness in serving large language models" (VTC), OSDI 2024.
 */
internal class FairQueue(private val isFair: Boolean) {
    private val queues = HashMap<CallerId, CallerQueue>()
    private val byCounter = TreeSet(compareBy<CallerQueue> { it.counter }.thenBy { it.order })
    private val byBacklog = TreeSet(compareBy<CallerQueue> { it.backlog }.thenBy { it.order })
    private var counterFloor = 0.0
    private var nextOrder = 0L

    var size = 0
        private set

    /** The queued tokens of all callers. */
    var queuedTokens = 0.0
        private set

    fun add(sequence: Long, entry: QueuedTicket) {
        val queue = queues.getOrPut(keyOf(entry.ticket)) {
            CallerQueue(entry.ticket.caller, nextOrder++)
        }
        if (queue.isEmpty) {
            queue.counter = maxOf(queue.counter, byCounter.firstOrNull()?.counter ?: counterFloor)
        }
        reorder(queue) {
            queue.weight = entry.ticket.weight
            queue.tickets[sequence] = entry
            queue.queuedTokens += entry.tokens
        }
        size++
        queuedTokens += entry.tokens
    }

    fun remove(sequence: Long, entry: QueuedTicket) {
        val queue = queues[keyOf(entry.ticket)] ?: return
        reorder(queue) {
            queue.tickets.remove(sequence)
            queue.queuedTokens -= entry.tokens
        }
        size--
        queuedTokens = if (size == 0) 0.0 else queuedTokens - entry.tokens
        prune(queue)
    }

    /** The next ticket to serve, or `null` if none waits. */
    fun next(): QueuedTicket? = byCounter.firstOrNull()?.tickets?.firstEntry()?.value

    /** The newest ticket of the caller with the largest backlog relative to its weight. */
    fun shedCandidate(): QueuedTicket? = byBacklog.lastOrNull()?.tickets?.lastEntry()?.value

    /** The backlog of [ticket]'s caller in queued tokens divided by its weight. */
    fun backlogOf(ticket: Ticket): Double = queues[keyOf(ticket)]?.backlog ?: 0.0

    /** Charges [tokens] to the caller of [ticket]; a negative charge is a refund. */
    fun charge(ticket: Ticket, tokens: Double) {
        val queue = queues[keyOf(ticket)] ?: return
        reorder(queue) { queue.counter += tokens / queue.weight }
        counterFloor = maxOf(counterFloor, byCounter.firstOrNull()?.counter ?: queue.counter)
    }

    private fun keyOf(ticket: Ticket) = if (isFair) ticket.caller else sharedKey

    private inline fun reorder(queue: CallerQueue, change: () -> Unit) {
        byCounter.remove(queue)
        byBacklog.remove(queue)
        change()
        if (queue.isEmpty) return
        byCounter.add(queue)
        byBacklog.add(queue)
    }

    private fun prune(queue: CallerQueue) {
        if (queues.size <= MAX_IDLE_QUEUES || !queue.isEmpty) return
        queues.values.removeIf { it.isEmpty && it.counter <= counterFloor }
    }

    private class CallerQueue(val caller: CallerId, val order: Long) {
        val tickets = TreeMap<Long, QueuedTicket>()
        var counter = 0.0
        var weight = 1.0
        var queuedTokens = 0.0

        val isEmpty: Boolean get() = tickets.isEmpty()
        val backlog: Double get() = queuedTokens / weight
    }

    private companion object {
        const val MAX_IDLE_QUEUES = 10_000
        val sharedKey = CallerId("")
    }
}

/** A waiting [ticket] with its estimated [tokens] and the latest time to start it. */
internal class QueuedTicket(
    val ticket: Ticket,
    val sequence: Long,
    val tokens: Double,
    val latestStartMs: Long,
    val queuedAtMs: Long
)
