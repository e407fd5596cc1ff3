package org.bronzetide.coordination

import kotlinx.serialization.Serializable

/**
 * Names the owner and the successor of every slot of the idempotency keys.
 *
 * The map is one object of the platform's store, changed only by conditional update, so that its
 * changes form one sequence. [Slot.epoch] grows with every change of a slot and serves as its
 * fencing token.
 */
@Serializable
public data class OwnershipMap(val slots: List<Slot> = emptyList()) {
    /** The slot that holds [key], or `null` while the map is empty. */
    public fun slotOf(key: String): Int? =
        if (slots.isEmpty()) null else Math.floorMod(RendezvousHash.weight("key", key), slots.size)

    /** One slot: [owner] grants claims, [successor] acknowledges them and takes over. */
    @Serializable
    public data class Slot(val owner: NodeId, val successor: NodeId?, val epoch: Long)

    public companion object {
        /** A map of [slotCount] slots over [nodes], owners and successors by [RendezvousHash]. */
        public fun initial(slotCount: Int, nodes: List<NodeId>): OwnershipMap {
            require(nodes.isNotEmpty()) { "An ownership map needs a node" }
            return OwnershipMap(
                List(slotCount) { index ->
                    val ranked = RendezvousHash.rank(slotName(index), nodes)
                    Slot(ranked.first(), ranked.getOrNull(1), epoch = 1)
                }
            )
        }

        /** The name under which slot [index] is placed on nodes. */
        public fun slotName(index: Int): String = "slot-$index"
    }
}
