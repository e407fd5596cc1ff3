package org.bronzetide.scheduling.fleet

/**
 * Divides the slots of one service among the hosts by what each of them has to send.
 *
 * Each host keeps its own queue, and a slot that becomes free is first seen by the host whose
 * request ended. Without shares that host would give it to its own next request, even if another
 * host has a more urgent one or has no slot at all. The slots go to the lowest rank first; the
 * requests of a rank that does not fit share what is left, each host in proportion to its demand.
 */
internal class SlotShares(
    private val slots: Double,
    /** The requests of this host that run or wait, by rank. */
    private val own: Map<Int, Int>,
    /** The same for all other hosts together. */
    private val peers: Map<Int, Int>
) {
    /** The number of slots that this host may use for requests of [rank] and lower ranks. */
    fun upTo(rank: Int): Double {
        var left = slots
        var share = 0.0
        for (current in (own.keys + peers.keys).filter { it <= rank }.sorted()) {
            val ownDemand = own[current] ?: 0
            val demand = ownDemand + (peers[current] ?: 0)
            if (demand == 0) continue
            val fitting = minOf(1.0, left / demand)
            share += ownDemand * fitting
            left -= demand * fitting
        }
        return share
    }
}
