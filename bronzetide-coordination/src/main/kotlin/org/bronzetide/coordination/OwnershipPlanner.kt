package org.bronzetide.coordination

/**
 * Plans the changes of an [OwnershipMap] when members fail, leave or join.
 *
 * While the owner or the successor of a slot is alive, only these two change the slot:
 * - A successor with the slot's claim history takes over from an unreachable owner. Without the
 *   history, it takes over only from a dead owner.
 * - The owner replaces a successor that is not eligible, and hands the slot over when it leaves.
 *
 * If both are dead, the first eligible node by [RendezvousHash] takes the slot without its history.
 * A premature change costs messages but cannot lead to a second grant, since a grant requires the
 * successor's acknowledgement under the current epoch.
 */
public class OwnershipPlanner(
    private val self: NodeId,
    /** The members that may hold a slot. */
    private val eligible: Set<NodeId>,
    /** The members that are suspected or dead. */
    private val unreachable: Set<NodeId>,
    /** The members that are dead. */
    private val dead: Set<NodeId>,
    /** Whether the successor of the slot with an index is known to have its claim history. */
    private val isReplicated: (Int) -> Boolean
) {
    /** Returns [map] with every change that this node may make, or `null` if there is none. */
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
            slot.owner == self -> keepOrHandOver(index, slot)
            self !in eligible -> null
            slot.successor == self -> self.takeIf { canTakeOver(index, slot) }
            else -> self.takeIf { isAbandoned(slot) && ranked.firstOrNull() == self }
        }

    private fun keepOrHandOver(index: Int, slot: OwnershipMap.Slot): NodeId {
        val replicatedSuccessor = slot.successor?.takeIf { it in eligible && isReplicated(index) }
        return if (self in eligible || replicatedSuccessor == null) self else replicatedSuccessor
    }

    private fun canTakeOver(index: Int, slot: OwnershipMap.Slot): Boolean =
        slot.owner in dead || (slot.owner in unreachable && isReplicated(index))

    private fun isAbandoned(slot: OwnershipMap.Slot): Boolean =
        slot.owner in dead && (slot.successor == null || slot.successor in dead)

    private fun needsSuccessor(slot: OwnershipMap.Slot, ranked: List<NodeId>): Boolean =
        slot.successor !in eligible && ranked.any { it != slot.owner }
}
