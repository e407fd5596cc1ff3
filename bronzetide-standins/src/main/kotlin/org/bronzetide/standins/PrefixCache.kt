package org.bronzetide.standins

/** The prompt blocks that an engine holds in limited memory, least recently used out first. */
internal class PrefixCache(capacityTokens: Int) {
    private val capacityBlocks = capacityTokens / BLOCK_TOKENS
    private val blocks = object : LinkedHashMap<Int, Unit>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Int, Unit>): Boolean =
            size > capacityBlocks
    }

    /** Returns how many tokens at the start of [prompt] are cached, and caches all of it. */
    fun matchAndInsert(prompt: String): Int {
        var hash = 0
        var cached = 0
        var isHit = true
        for (start in 0..prompt.length - BLOCK_CHARS step BLOCK_CHARS) {
            hash = hash * 31 + prompt.substring(start, start + BLOCK_CHARS).hashCode()
            isHit = isHit && blocks.containsKey(hash)
            if (isHit) cached += BLOCK_TOKENS
            blocks[hash] = Unit
        }
        return cached
    }

    private companion object {
        const val BLOCK_TOKENS = 64
        const val BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN
    }
}

/** The characters that count as one token. */
const val CHARS_PER_TOKEN: Int = 4
