package org.bronzetide.scheduling.fleet

/**
 * The requests that wait for a target, and the order in which they go.
 *
 * The more urgent go first. Among equals, those that can still be on time go before those that are
 * late already: in an overload, first come first served would make everyone late. A late request
 * lets all go first that can be on time, until it must start soon; then its priority counts again,
 * so that it is not shed for the sake of less urgent ones.
 */
internal class WaitingQueue {
    private val entries = LinkedHashMap<Long, Entry>()

    val size: Int get() = entries.size

    fun add(ticket: FleetTicket, onDecision: (FleetDecision) -> Unit) {
        entries[ticket.sequence] = Entry(ticket, onDecision)
    }

    fun remove(sequence: Long) {
        entries.remove(sequence)
    }

    /** The number of requests as urgent as [priority] or more. */
    fun countUpTo(priority: Int): Int = entries.values.count { it.ticket.priority <= priority }

    /** The requests in the order in which they go now. */
    fun inOrder(nowMs: Long): List<Entry> {
        if (entries.size == 1) return entries.values.toList()
        val groups = entries.values.associateWith { groupOf(it.ticket, nowMs) }
        return entries.values.sortedWith(
            compareBy<Entry> { groups.getValue(it).rank }
                .thenBy { groups.getValue(it).isLate }
                .thenBy { it.ticket.sequence }
        )
    }

    private fun groupOf(ticket: FleetTicket, nowMs: Long): Group {
        val isLate = nowMs > ticket.onTimeUntilMs
        val mayWait = isLate && ticket.startByMs - nowMs > LAST_CALL_MS
        return Group(if (mayWait) DEFERRED_RANK + ticket.priority else ticket.priority, isLate)
    }

    /** A request that waits. */
    class Entry(val ticket: FleetTicket, val onDecision: (FleetDecision) -> Unit)

    private class Group(val rank: Int, val isLate: Boolean)

    private companion object {
        /** Over any priority. */
        const val DEFERRED_RANK = 1_000

        /** How long before its latest start a late request goes by its priority again. */
        const val LAST_CALL_MS = 400L
    }
}
