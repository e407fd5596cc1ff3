package org.bronzetide.coordination

/**
 * Places names on nodes so that a change of one node moves only the names that it held.
 *
 * Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
 */
public object RendezvousHash {
    /** The nodes ordered by their weight for [name], the highest first. */
    public fun <N : Comparable<N>> rank(name: String, nodes: Collection<N>): List<N> =
        nodes.map { it to weight(name, it.toString()) }
            .sortedWith(compareByDescending<Pair<N, Long>> { it.second }.thenBy { it.first })
            .map { it.first }

    /** The node with the highest weight for [name], or `null` if there are no nodes. */
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
