package org.bronzetide.coordination

/**
 * Decides how an [OwnershipMap] has to change when members fail, leave or join.
 *
 * Only the owner or the successor of a slot changes it while one of them lives: a successor with
 * the slot's memory takes over from an unreachable owner, one without it only from a dead owner;
 * the owner replaces a successor that is not eligible, and hands over when it leaves. Where both
 * are dead, the first eligible node by [RendezvousHash] takes the slot without its memory. A hasty
 * change costs a message, never a second grant: grants need the successor's acknowledgement under
 * the current epoch.
 */
public class OwnershipPlanner(
    private val self: NodeId,
    /** The members that may hold a slot. */
    private val eligible: Set<NodeId>,
    /** The members that are suspected or dead. */
    private val unreachable: Set<NodeId>,
    /** The members that are dead. */
    private val dead: Set<NodeId>,
    /** Whether the successor of a slot, by its index, is known here to have the slot's memory. */
    private val isReplicated: (Int) -> Boolean
) {
    /** The map with every change that this node is entitled to make, or `null` if there is none. */
    public fun plan(map: OwnershipMap): OwnershipMap? {
        val next = map.slots.mapIndexed { index, slot -> planSlot(index, slot) }
        return if (next == map.slots) null else OwnershipMap(next)
    }

    private fun planSlot(index: Int, slot: OwnershipMap.Slot): OwnershipMap.Slot {
        val ranked = RendezvousHash.rank(OwnershipMap.slotName(index), eligible)
        val owner = nextOwner(index, slot, ranked) ?: return slot
        val replacesSuccessor = owner == slot.owner && needsSuccessor(slot, ranked)
        if (owner == slot.owner && !replacesSuccessor) return slot
        return OwnershipMap.Slot(owner, ranked.firstOrNull { it != owner }, slot.epoch + 1)
    }

    private fun nextOwner(index: Int, slot: OwnershipMap.Slot, ranked: List<NodeId>): NodeId? =
        when {
            slot.owner == self -> ownerAfterSelf(index, slot)
            self !in eligible -> null
            slot.successor == self -> self.takeIf { mayTakeOver(index, slot) }
            else -> self.takeIf { isAbandoned(slot) && ranked.firstOrNull() == self }
        }

    private fun ownerAfterSelf(index: Int, slot: OwnershipMap.Slot): NodeId {
        val heir = slot.successor?.takeIf { it in eligible && isReplicated(index) }
        return if (self in eligible || heir == null) self else heir
    }

    private fun mayTakeOver(index: Int, slot: OwnershipMap.Slot): Boolean =
        slot.owner in dead || (slot.owner in unreachable && isReplicated(index))

    private fun isAbandoned(slot: OwnershipMap.Slot): Boolean =
        slot.owner in dead && (slot.successor == null || slot.successor in dead)

    private fun needsSuccessor(slot: OwnershipMap.Slot, ranked: List<NodeId>): Boolean =
        slot.successor !in eligible && ranked.any { it != slot.owner }
}
