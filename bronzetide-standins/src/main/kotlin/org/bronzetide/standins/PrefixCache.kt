package org.bronzetide.standins

/**
 * An LRU cache of prompt blocks. Each block is identified by the hash of the prompt up to the
 * block's end.
 */
internal class PrefixCache(capacityTokens: Int) {
    private val capacityBlocks = capacityTokens / BLOCK_TOKENS
    private val blocks = object : LinkedHashMap<Int, Unit>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Int, Unit>): Boolean =
            size > capacityBlocks
    }

    /** Returns the number of cached tokens at the start of [prompt], and caches its full blocks. */
    fun matchAndInsert(prompt: String): Int {
        var hash = 0
        var cachedTokens = 0
        var isHit = true
        for (start in 0..prompt.length - BLOCK_CHARS step BLOCK_CHARS) {
            hash = hash * 31 + prompt.substring(start, start + BLOCK_CHARS).hashCode()
            isHit = isHit && blocks.containsKey(hash)
            if (isHit) cachedTokens += BLOCK_TOKENS
            blocks[hash] = Unit
        }
        return cachedTokens
    }

    private companion object {
        const val BLOCK_TOKENS = 64
        const val BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN
    }
}

/** The number of prompt characters that simulated engines count as one token. */
const val CHARS_PER_TOKEN: Int = 4
