package org.bronzetide.coordination

import kotlinx.serialization.Serializable

/**
 * Assigns an owner and a successor to every slot of the idempotency keys.
 *
 * The map is one object of the platform's store and is changed only by conditional updates, so its
 * versions form one sequence. [Slot.epoch] increases with every change of a slot and serves as its
 * fencing token.
 */
@Serializable
public data class OwnershipMap(val slots: List<Slot> = emptyList()) {
    /** Returns the index of the slot of [key], or `null` if the map is empty. */
    public fun slotOf(key: String): Int? =
        if (slots.isEmpty()) null else Math.floorMod(RendezvousHash.weight("key", key), slots.size)

    /** A slot. [owner] grants claims, [successor] acknowledges them and takes over from it. */
    @Serializable
    public data class Slot(val owner: NodeId, val successor: NodeId?, val epoch: Long)

    public companion object {
        /**
         * Returns a map of [slotCount] slots, with owners and successors placed on [nodes] by
         * [RendezvousHash].
         *
         * @throws IllegalArgumentException if [nodes] is empty.
         */
        public fun initial(slotCount: Int, nodes: List<NodeId>): OwnershipMap {
            require(nodes.isNotEmpty()) { "an ownership map requires at least one node" }
            return OwnershipMap(
                List(slotCount) { index ->
                    val ranked = RendezvousHash.rank(slotName(index), nodes)
                    Slot(ranked.first(), ranked.getOrNull(1), epoch = 1)
                }
            )
        }

        /** Returns the name of slot [index] that is hashed to place it on nodes. */
        public fun slotName(index: Int): String = "slot-$index"
    }
}
