package org.bronzetide.coordination

/**
 * Decides how an [OwnershipMap] has to change when members fail, leave or join.
 *
 * Only the owner or the successor of a slot changes it while one of them lives: the successor takes
 * over from an unreachable owner, the owner hands over when it leaves and replaces an unreachable
 * successor. Where both are dead, the first eligible node by [RendezvousHash] takes the slot
 * without its memory. A hasty change costs a message, never a second grant: grants need the
 * successor's acknowledgement under the current epoch.
 */
public class OwnershipPlanner(
    private val self: NodeId,
    /** The members that may hold a slot. */
    private val eligible: Set<NodeId>,
    /** The members that are suspected or dead. */
    private val unreachable: Set<NodeId>,
    /** The members that are dead. */
    private val dead: Set<NodeId>
) {
    /** The map with every change that this node is entitled to make, or `null` if there is none. */
    public fun plan(map: OwnershipMap): OwnershipMap? {
        val next = map.slots.mapIndexed { index, slot -> planSlot(index, slot) }
        return if (next == map.slots) null else OwnershipMap(next)
    }

    private fun planSlot(index: Int, slot: OwnershipMap.Slot): OwnershipMap.Slot {
        val ranked = RendezvousHash.rank(OwnershipMap.slotName(index), eligible)
        val owner = nextOwner(slot, ranked) ?: return slot
        val replacesSuccessor = owner == slot.owner && needsSuccessor(slot, ranked)
        if (owner == slot.owner && !replacesSuccessor) return slot
        return OwnershipMap.Slot(owner, ranked.firstOrNull { it != owner }, slot.epoch + 1)
    }

    private fun nextOwner(slot: OwnershipMap.Slot, ranked: List<NodeId>): NodeId? = when {
        slot.owner == self && self in eligible -> self
        slot.owner == self -> slot.successor?.takeIf { it in eligible }
        self !in eligible -> null
        slot.successor == self -> self.takeIf { slot.owner in unreachable }
        else -> self.takeIf { isAbandoned(slot) && ranked.firstOrNull() == self }
    }

    private fun isAbandoned(slot: OwnershipMap.Slot): Boolean =
        slot.owner in dead && (slot.successor == null || slot.successor in dead)

    private fun needsSuccessor(slot: OwnershipMap.Slot, ranked: List<NodeId>): Boolean =
        slot.successor in unreachable || (slot.successor == null && ranked.size > 1)
}
