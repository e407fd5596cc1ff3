package org.bronzetide.scheduling

import java.util.TreeMap
import java.util.TreeSet
import org.bronzetide.model.CallerId

/**
 * The waiting tickets of one tier, served so that backlogged callers get equal shares of tokens in
 * proportion to their weights.
 *
 * Each caller has a counter of the tokens served to it, divided by its weight; the caller with the
 * lowest counter is served next. A caller that returns from idleness is lifted to the lowest
 * counter of the backlogged ones, so that idle time earns no credit.
 *
 * Source: Sheng et al., "Fairness in serving large language models" (VTC), OSDI 2024.
 */
internal class FairQueue(private val isFair: Boolean) {
    private val lines = HashMap<CallerId, Line>()
    private val byCounter = TreeSet(compareBy<Line> { it.counter }.thenBy { it.order })
    private val byBacklog = TreeSet(compareBy<Line> { it.backlog }.thenBy { it.order })
    private var floor = 0.0
    private var nextOrder = 0L

    var size = 0
        private set

    /** The queued tokens of all callers. */
    var queuedTokens = 0.0
        private set

    fun add(sequence: Long, entry: QueuedTicket) {
        val line = lines.getOrPut(lineKey(entry.ticket)) { Line(entry.ticket.caller, nextOrder++) }
        if (line.isEmpty) {
            line.counter = maxOf(line.counter, byCounter.firstOrNull()?.counter ?: floor)
        }
        reorder(line) {
            line.weight = entry.ticket.weight
            line.tickets[sequence] = entry
            line.queuedTokens += entry.tokens
        }
        size++
        queuedTokens += entry.tokens
    }

    fun remove(sequence: Long, entry: QueuedTicket) {
        val line = lines[lineKey(entry.ticket)] ?: return
        reorder(line) {
            line.tickets.remove(sequence)
            line.queuedTokens -= entry.tokens
        }
        size--
        queuedTokens = if (size == 0) 0.0 else queuedTokens - entry.tokens
        prune(line)
    }

    /** The next ticket to serve, or `null` if none waits. */
    fun next(): QueuedTicket? = byCounter.firstOrNull()?.tickets?.firstEntry()?.value

    /** The newest ticket of the caller with the largest backlog for its weight. */
    fun shedCandidate(): QueuedTicket? = byBacklog.lastOrNull()?.tickets?.lastEntry()?.value

    /** The backlog in weighted tokens that [ticket]'s caller has already. */
    fun backlogOf(ticket: Ticket): Double = lines[lineKey(ticket)]?.backlog ?: 0.0

    /** Charges [tokens] to the caller of [ticket]; a negative charge gives back. */
    fun charge(ticket: Ticket, tokens: Double) {
        val line = lines[lineKey(ticket)] ?: return
        reorder(line) { line.counter += tokens / line.weight }
        floor = maxOf(floor, byCounter.firstOrNull()?.counter ?: line.counter)
    }

    private fun lineKey(ticket: Ticket) = if (isFair) ticket.caller else everyone

    private inline fun reorder(line: Line, change: () -> Unit) {
        byCounter.remove(line)
        byBacklog.remove(line)
        change()
        if (line.isEmpty) return
        byCounter.add(line)
        byBacklog.add(line)
    }

    private fun prune(line: Line) {
        if (lines.size <= MAX_IDLE_LINES || !line.isEmpty) return
        lines.values.removeIf { it.isEmpty && it.counter <= floor }
    }

    private class Line(val caller: CallerId, val order: Long) {
        val tickets = TreeMap<Long, QueuedTicket>()
        var counter = 0.0
        var weight = 1.0
        var queuedTokens = 0.0

        val isEmpty: Boolean get() = tickets.isEmpty()
        val backlog: Double get() = queuedTokens / weight
    }

    private companion object {
        const val MAX_IDLE_LINES = 10_000
        val everyone = CallerId("")
    }
}

/** A waiting [ticket], its estimated [tokens], and when it is too late to start it. */
internal class QueuedTicket(
    val ticket: Ticket,
    val sequence: Long,
    val tokens: Double,
    val latestStartMs: Long,
    val queuedAtMs: Long
)
