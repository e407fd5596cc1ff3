package org.bronzetide.scheduling

import org.bronzetide.model.TargetId

/** Tracks which target last prefilled each of the [capacity] last used prompt prefixes. */
internal class PrefixAffinity(private val capacity: Int = DEFAULT_CAPACITY) {
    private val targets = object : LinkedHashMap<Long, TargetId>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Long, TargetId>): Boolean = size > capacity
    }

    fun targetOf(prefixHash: Long): TargetId? = if (prefixHash == 0L) null else targets[prefixHash]

    fun record(prefixHash: Long, target: TargetId) {
        if (prefixHash != 0L) targets[prefixHash] = target
    }

    private companion object {
        const val DEFAULT_CAPACITY = 4_096
    }
}
