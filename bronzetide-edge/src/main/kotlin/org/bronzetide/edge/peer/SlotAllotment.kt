package org.bronzetide.edge.peer

import org.bronzetide.coordination.NodeId
import org.bronzetide.coordination.RendezvousHash
import org.bronzetide.scheduling.fleet.FleetTarget
import org.bronzetide.scheduling.fleet.TargetRef

/**
 * Divides the slots of each target among the hosts without messages: hosts that know the same
 * members compute the same division. The slots go to the hosts one by one, in an order that differs
 * between targets.
 *
 * Hosts hear of a change of the members one after another. A slot that passes from one host to
 * another is given up at once and used only [TAKE_OVER_DELAY_MS] milliseconds later, so that both
 * do not use it.
 *
 * Confined to the control thread.
 */
internal class SlotAllotment(private val self: NodeId) {
    /** The hosts as they were known lately, the current ones last. */
    private val views = ArrayList<View>()

    private class View(val hosts: List<NodeId>) {
        val places = HashMap<TargetRef, Int>()

        /** When other hosts replaced it, in milliseconds on the clock. */
        var replacedAtMs = Long.MAX_VALUE
    }

    /** Replaces the hosts. */
    fun update(hosts: Collection<NodeId>, nowMs: Long) {
        val known = (hosts + self).distinct().sorted()
        if (views.lastOrNull()?.hosts == known) return
        views.lastOrNull()?.replacedAtMs = nowMs
        views += View(known)
        views.removeIf { it.replacedAtMs <= nowMs - TAKE_OVER_DELAY_MS }
        if (views.size > MAX_VIEWS) views.removeFirst()
    }

    /** The slots of [target] that are this host's, if there are [minHosts] hosts at least. */
    fun slotsOf(target: FleetTarget, minHosts: Int, nowMs: Long): Int {
        views.removeIf { it.replacedAtMs <= nowMs - TAKE_OVER_DELAY_MS }
        return views.minOfOrNull { it.slotsOf(target, minHosts) } ?: 0
    }

    private fun View.slotsOf(target: FleetTarget, minHosts: Int): Int {
        if (places.size > MAX_PLACES) places.clear()
        val place = places.getOrPut(target.ref) {
            RendezvousHash.rank(target.id, hosts).indexOf(self)
        }
        val count = maxOf(hosts.size, minHosts)
        return target.slots / count + if (place < target.slots % count) 1 else 0
    }

    private companion object {
        /** Within it, nearly all hosts of a large fleet hear of a change of the members. */
        const val TAKE_OVER_DELAY_MS = 3_000L

        /** Bounds the work while many hosts start or end one after another. */
        const val MAX_VIEWS = 4

        /** Twice the targets of a large deployment. */
        const val MAX_PLACES = 20_000
    }
}
