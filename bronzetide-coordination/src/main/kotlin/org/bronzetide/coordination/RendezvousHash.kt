package org.bronzetide.coordination

import java.util.PriorityQueue

/**
 * Rendezvous hashing. It assigns names to nodes so that adding or removing a node moves only the
 * names assigned to that node.
 *
 * Every node of a cluster must compute the same weights.
 *
 * Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
 */
public object RendezvousHash {
    /** Returns [nodes] ordered by descending weight for [name]. */
    public fun <N : Comparable<N>> rank(name: String, nodes: Collection<N>): List<N> =
        nodes.map { it to weight(name, it.toString()) }
            .sortedWith(compareByDescending<Pair<N, Long>> { it.second }.thenBy { it.first })
            .map { it.first }

    /** Returns the first [count] of [nodes] in the order of [rank], without sorting the others. */
    public fun <N : Comparable<N>> top(name: String, nodes: Collection<N>, count: Int): List<N> {
        val order = compareBy<Pair<N, Long>> { it.second }.thenByDescending { it.first }
        val best = PriorityQueue(order)
        for (node in nodes) {
            best.add(node to weight(name, node.toString()))
            if (best.size > count) best.poll()
        }
        return best.sortedWith(order.reversed()).map { it.first }
    }

    /** Returns the node with the highest weight for [name], or `null` if [nodes] is empty. */
    public fun <N : Comparable<N>> pick(name: String, nodes: Collection<N>): N? =
        nodes.maxWithOrNull(compareBy<N> { weight(name, it.toString()) }.thenBy { it })

    internal fun weight(name: String, node: String): Long {
        var hash = FNV_OFFSET
        for (char in name) hash = (hash xor char.code.toLong()) * FNV_PRIME
        hash = (hash xor SEPARATOR) * FNV_PRIME
        for (char in node) hash = (hash xor char.code.toLong()) * FNV_PRIME
        return mix(hash)
    }

    private fun mix(value: Long): Long {
        var bits = value
        bits = (bits xor (bits ushr 33)) * MIX_1
        bits = (bits xor (bits ushr 33)) * MIX_2
        return bits xor (bits ushr 33)
    }

    private const val FNV_OFFSET = -3750763034362895579L
    private const val FNV_PRIME = 1099511628211L
    private const val SEPARATOR = 0x1FL
    private const val MIX_1 = -49064778989728563L
    private const val MIX_2 = -4265267296055464877L
}
