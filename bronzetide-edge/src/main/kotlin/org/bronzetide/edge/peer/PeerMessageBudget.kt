package org.bronzetide.edge.peer

import kotlinx.serialization.KSerializer
import kotlinx.serialization.serializer

/**
 * Leaves entries out of a message that would have more than [maxBytes] otherwise, by what matters
 * most: quotas, limits and departures, permits, demands, loads, suspects, slowdowns, evidence of
 * crashes, rollouts. Each list may take what those before it have left, less a reserve for each of
 * those after it.
 *
 * The entries of a list take turns from message to message, so that each is sent at some time. Of
 * the loads, which replace the previous ones as a whole, those of the busiest targets are kept.
 *
 * Not thread-safe.
 */
internal class PeerMessageBudget(
    private val maxBytes: Int,
    private val onLeftOut: (kind: String, list: String, count: Int) -> Unit
) {
    /** Where the next message begins with a list, by receiver, kind and list. */
    private val cursors = object : LinkedHashMap<String, Int>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Int>): Boolean = size > MAX_CURSORS
    }

    /** Returns [message] to [receiver] without what exceeds the budget. */
    fun fit(message: PeerMessage, receiver: String): PeerMessage {
        val room = Room(message.kind, receiver)
        return when (message) {
            is PeerMessage.Report -> room.fit(message)

            is PeerMessage.Summary -> room.fit(message)

            is PeerMessage.Grants -> message.copy(
                quotas = room.take("quotas", message.quotas),
                quotaLevels = message.quotaLevels?.let { room.take("quota levels", it) }
            )

            is PeerMessage.Probe -> message.copy(
                probe = message.probe.copy(rumors = room.take("rumors", message.probe.rumors))
            )

            is PeerMessage.StreamPush ->
                PeerMessage.StreamPush(room.take("groups", message.groups))

            is PeerMessage.StreamReply ->
                message.copy(services = room.take("services", message.services))

            is PeerMessage.StreamQuery, is PeerMessage.Fragment -> message
        }
    }

    private fun Room.fit(message: PeerMessage.Report) = message.copy(
        quotas = take("quotas", message.quotas),
        statements = message.statements?.let { takeStatements(it) },
        demands = take("demands", message.demands),
        loads = takeLoads(message.loads),
        suspects = take("suspects", message.suspects),
        slowdowns = take("slowdowns", message.slowdowns),
        crashes = message.crashes?.let { takeCrashes(it) },
        rollouts = message.rollouts?.let { take("rollouts", it) }
    )

    private fun Room.fit(message: PeerMessage.Summary) = message.copy(
        quotas = take("quotas", message.quotas),
        quotaLevels = message.quotaLevels?.let { take("quota levels", it) },
        statements = message.statements?.let { takeStatements(it) },
        demands = take("demands", message.demands),
        loads = takeLoads(message.loads),
        suspects = take("suspects", message.suspects),
        slowdowns = take("slowdowns", message.slowdowns),
        crashes = message.crashes?.let { takeCrashes(it) },
        rollouts = message.rollouts?.let { take("rollouts", it) }
    )

    private fun Room.takeStatements(statements: PeerMessage.Statements) = statements.copy(
        limits = take("limits", statements.limits),
        departures = take("departures", statements.departures),
        brittle = take("brittle services", statements.brittle),
        permits = take("permits", statements.permits),
        sendDemands = take("send demands", statements.sendDemands)
    )

    private fun Room.takeLoads(loads: List<PeerMessage.Load>): List<PeerMessage.Load> {
        val busiestFirst = loads.sortedByDescending { it.count }
        return take("loads", busiestFirst, takesTurns = false)
    }

    private fun Room.takeCrashes(crashes: PeerMessage.Crashes): PeerMessage.Crashes {
        val runs = take("crashed runs", crashes.runs)
        val parts = runs.flatMapTo(HashSet()) { it.parts }
        val served = crashes.served.filter { it.part in parts }
        return PeerMessage.Crashes(runs, take("served parts", served))
    }

    /** What is left of the budget of one message. */
    private inner class Room(private val kind: String, private val receiver: String) {
        private var leftBytes = maxBytes - HEAD_BYTES
        private var listsAfter = MAX_LISTS

        inline fun <reified T> take(
            list: String,
            entries: List<T>,
            takesTurns: Boolean = true
        ): List<T> = take(list, entries, serializer(), takesTurns)

        fun <T> take(
            list: String,
            entries: List<T>,
            serializer: KSerializer<T>,
            takesTurns: Boolean
        ): List<T> {
            listsAfter = (listsAfter - 1).coerceAtLeast(0)
            if (entries.isEmpty()) return entries
            val key = "$receiver $kind $list"
            val start = if (takesTurns) (cursors[key] ?: 0) % entries.size else 0
            var allowed = leftBytes - listsAfter * RESERVED_LIST_BYTES
            var next: Int? = null
            val taken = entries.indices.map { (start + it) % entries.size }.filter { index ->
                val size = PeerMessage.codec.encodeToByteArray(serializer, entries[index]).size
                val fits = size <= allowed
                if (fits) allowed -= size else next = next ?: index
                fits
            }
            leftBytes = allowed + listsAfter * RESERVED_LIST_BYTES
            next?.let {
                // An entry that does not fit alone must not keep the others from taking turns.
                cursors[key] = if (it == start) it + 1 else it
                onLeftOut(kind, list, entries.size - taken.size)
            }
            return taken.map { entries[it] }
        }
    }

    private companion object {
        /** What is not in a list: two names of hosts, and the marks of lists. */
        const val HEAD_BYTES = 4_096

        /** Of this, a list with the longest names takes ten entries. */
        const val RESERVED_LIST_BYTES = 8_192

        /** A summary has thirteen lists, more than other messages. */
        const val MAX_LISTS = 13
        const val MAX_CURSORS = 4_096
    }
}
