package org.bronzetide.scheduling

import java.util.TreeSet
import org.bronzetide.model.Tier

/** The waiting tickets of a pool shard, in strict order of tiers, with latest start times. */
internal class TicketQueue(private val policy: PoolPolicy) {
    private val tiers = Tier.all.map { FairQueue(Feature.FAIRNESS in policy) }
    private val entries = HashMap<TicketId, QueuedTicket>()
    private val byLatestStart =
        TreeSet(compareBy<QueuedTicket> { it.latestStartMs }.thenBy { it.sequence })
    private val lastGrant = LongArray(Tier.LEAST_URGENT + 1) { -1 }
    private var nextSequence = 0L

    val size: Int get() = entries.size

    operator fun contains(id: TicketId): Boolean = id in entries

    fun ids(): Set<TicketId> = entries.keys

    fun sizeOf(tier: Tier): Int = tiers[tier.level - 1].size

    /** The queued tokens of [tier] and all more urgent tiers. */
    fun tokensAhead(tier: Tier): Double = (0 until tier.level).sumOf { tiers[it].queuedTokens }

    fun add(ticket: Ticket, tokens: Double, latestStartMs: Long, nowMs: Long) {
        val entry = QueuedTicket(ticket, nextSequence++, tokens, latestStartMs, nowMs)
        entries[ticket.id] = entry
        byLatestStart.add(entry)
        queueOf(ticket).add(entry.sequence, entry)
    }

    fun remove(id: TicketId): QueuedTicket? {
        val entry = entries.remove(id) ?: return null
        byLatestStart.remove(entry)
        queueOf(entry.ticket).remove(entry.sequence, entry)
        return entry
    }

    /** The next ticket to serve among the tiers down to [lowest], or `null`. */
    fun next(lowest: Tier): QueuedTicket? {
        for (level in 0 until lowest.level) tiers[level].next()?.let { return it }
        return null
    }

    /** A waiting ticket whose latest start time has passed, or `null`. */
    fun expired(nowMs: Long): QueuedTicket? =
        byLatestStart.firstOrNull()?.takeIf { it.latestStartMs < nowMs }

    /**
     * The ticket to shed in favor of [arriving], or `null` if [arriving] itself should be shed.
     *
     * The lowest tier is shed first, and within it the newest ticket of the caller with the largest
     * backlog relative to its weight. Without [Feature.TIERS], [arriving] is always shed.
     */
    fun shedCandidateFor(arriving: Ticket, tokens: Double): QueuedTicket? {
        val queue = tiers.lastOrNull { it.size > 0 } ?: return null
        val candidate = queue.shedCandidate() ?: return null
        if (Feature.TIERS !in policy) return null
        return when {
            candidate.ticket.tier > arriving.tier -> candidate

            candidate.ticket.tier < arriving.tier -> null

            candidate.ticket.caller == arriving.caller -> null

            else -> candidate.takeIf {
                val own = queue.backlogOf(arriving) + tokens / arriving.weight
                own < queue.backlogOf(candidate.ticket)
            }
        }
    }

    /** Records the grant of [entry], for [wasOvertaken]. */
    fun onGranted(entry: QueuedTicket) {
        lastGrant[entry.ticket.tier.level] = nextSequence
    }

    /** Whether a ticket of a lower tier was granted while [entry] waited. */
    fun wasOvertaken(entry: QueuedTicket): Boolean =
        (entry.ticket.tier.level + 1..Tier.LEAST_URGENT).any { lastGrant[it] > entry.sequence }

    /** Charges [tokens] to the caller of [ticket]; a negative charge is a refund. */
    fun charge(ticket: Ticket, tokens: Double) = queueOf(ticket).charge(ticket, tokens)

    private fun queueOf(ticket: Ticket): FairQueue =
        if (Feature.TIERS in policy) tiers[ticket.tier.level - 1] else tiers[0]
}
