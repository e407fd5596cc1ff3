package org.bronzetide.scheduling.fleet

/**
 * The requests that wait for a target, with the order in which they are sent.
 *
 * Requests are ordered by priority, then by what their accounts got recently ([AccountShares]).
 * Among equal ones, those that can still be on time precede late ones. While no request of a
 * service is late, the oldest goes first. Once some are late, the targets of the service are
 * overloaded and the newest on-time request goes first: in order of arrival each would start at
 * the last moment, and most would be late.
 *
 * A late request yields to all that can be on time until shortly before its latest start. Then its
 * priority counts again, so that it is not shed in favor of less urgent ones.
 *
 * [usualMs] returns the time within which most requests of a service get their first event or
 * their complete response after they were sent, in milliseconds. A request is late once less than
 * that is left, but not before half of the time that it had when it was added.
 */
internal class WaitingQueue(private val usualMs: (service: String) -> Long) {
    private val entries = LinkedHashMap<Long, Entry>()

    val size: Int get() = entries.size

    fun add(
        ticket: FleetTicket,
        nowMs: Long,
        band: ShareBand = ShareBand.WITHIN,
        onDecision: (FleetDecision) -> Unit
    ) {
        entries[ticket.sequence] = Entry(ticket, rankOf(ticket.priority, band), nowMs, onDecision)
    }

    fun remove(sequence: Long) {
        entries.remove(sequence)
    }

    /** The number of requests at least as urgent as [priority]. */
    fun countAtLeastAsUrgent(priority: Int): Int =
        entries.values.count { it.ticket.priority <= priority }

    /** The number of waiting requests of [service]. */
    fun count(service: String): Int = entries.values.count { it.ticket.service == service }

    /** The number of waiting requests of [service] by rank. */
    fun countByRank(service: String, nowMs: Long): Map<Int, Int> =
        entries.values.filter { it.ticket.service == service }
            .groupingBy { withRank(it, nowMs).rank }.eachCount()

    /** The waiting requests in the order in which they should be sent at [nowMs]. */
    fun inDispatchOrder(nowMs: Long): List<RankedEntry> {
        val ranked = entries.values.map { withRank(it, nowMs) }
        if (ranked.size == 1) return ranked
        val overloaded = ranked.filter { it.isLate }.mapTo(HashSet()) { it.entry.ticket.service }
        return ranked.sortedWith(
            compareBy<RankedEntry> { it.rank }.thenBy { it.isLate }.thenBy {
                val ticket = it.entry.ticket
                val isNewestFirst = !it.isLate && ticket.service in overloaded
                if (isNewestFirst) -ticket.sequence else ticket.sequence
            }
        )
    }

    private fun withRank(entry: Entry, nowMs: Long): RankedEntry {
        val ticket = entry.ticket
        val halfMs = (ticket.dueAtMs - entry.addedAtMs).coerceAtLeast(0) / 2
        val isLate = nowMs + minOf(usualMs(ticket.service), halfMs) > ticket.dueAtMs
        val isDeferred = isLate && ticket.startByMs - nowMs > PRIORITY_RESTORE_MS
        val rank = if (isDeferred) DEFERRED_RANK + entry.rank else entry.rank
        return RankedEntry(entry, rank, isLate)
    }

    /** A waiting request and the receiver of its decision. */
    class Entry(
        val ticket: FleetTicket,
        /** See [rankOf]. */
        val rank: Int,
        val addedAtMs: Long,
        val onDecision: (FleetDecision) -> Unit
    )

    /**
     * A waiting request with its rank: that of [rankOf], or a greater number if it is late and
     * yields to all that can be on time.
     */
    class RankedEntry(val entry: Entry, val rank: Int, val isLate: Boolean)

    companion object {
        /** The lowest rank of late requests; greater than any other. */
        const val DEFERRED_RANK = 10_000

        /** The rank of requests of [priority] whose account got as much as [band] tells. */
        fun rankOf(priority: Int, band: ShareBand = ShareBand.WITHIN): Int =
            priority * ShareBand.entries.size + band.ordinal

        /** How long before its latest start a late request regains its priority. */
        private const val PRIORITY_RESTORE_MS = 400L
    }
}
