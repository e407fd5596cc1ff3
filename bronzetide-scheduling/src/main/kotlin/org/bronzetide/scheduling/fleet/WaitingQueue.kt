package org.bronzetide.scheduling.fleet

/**
 * The requests that wait for a target, and the order in which they go.
 *
 * The more urgent go first. Among equals, those that can still be on time go before those that are
 * late already. As long as all are on time, they go in the order in which they came. Once some are
 * late, the targets are overloaded, and the newest go first: in the order of arrival each would
 * start at the last moment, and most would miss it.
 *
 * A late request lets all go first that can be on time, until it must start soon; then its priority
 * counts again, so that it is not shed for the sake of less urgent ones.
 *
 * [expectedMs] predicts the time from the start of a request to its first event or answer.
 */
internal class WaitingQueue(private val expectedMs: (FleetTicket) -> Long) {
    private val entries = LinkedHashMap<Long, Entry>()

    val size: Int get() = entries.size

    fun add(ticket: FleetTicket, onDecision: (FleetDecision) -> Unit) {
        entries[ticket.sequence] = Entry(ticket, onDecision)
    }

    fun remove(sequence: Long) {
        entries.remove(sequence)
    }

    /** The number of requests as urgent as [priority] or more. */
    fun countAtLeastAsUrgent(priority: Int): Int = entries.values.count {
        it.ticket.priority <=
            priority
    }

    /** The requests in the order in which they go now. */
    fun inDispatchOrder(nowMs: Long): List<Entry> {
        if (entries.size == 1) return entries.values.toList()
        val placed = entries.values.map { place(it, nowMs) }
        val overloaded = placed.filter { it.isLate }.mapTo(HashSet()) { it.entry.ticket.service }
        return placed.sortedWith(
            compareBy<Placed> { it.rank }.thenBy { it.isLate }.thenBy {
                val ticket = it.entry.ticket
                val isNewestFirst = !it.isLate && ticket.service in overloaded
                if (isNewestFirst) -ticket.sequence else ticket.sequence
            }
        ).map { it.entry }
    }

    private fun place(entry: Entry, nowMs: Long): Placed {
        val ticket = entry.ticket
        val isLate = nowMs + expectedMs(ticket) > ticket.dueAtMs
        val mayWait = isLate && ticket.startByMs - nowMs > LAST_CALL_MS
        val rank = if (mayWait) DEFERRED_RANK + ticket.priority else ticket.priority
        return Placed(entry, rank, isLate)
    }

    /** A request that waits. */
    class Entry(val ticket: FleetTicket, val onDecision: (FleetDecision) -> Unit)

    private class Placed(val entry: Entry, val rank: Int, val isLate: Boolean)

    private companion object {
        /** Over any priority. */
        const val DEFERRED_RANK = 1_000

        /** How long before its latest start a late request goes by its priority again. */
        const val LAST_CALL_MS = 400L
    }
}
