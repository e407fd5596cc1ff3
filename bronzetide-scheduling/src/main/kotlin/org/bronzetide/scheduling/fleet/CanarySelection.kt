package org.bronzetide.scheduling.fleet

/**
 * Selects the few targets of a new version that are tried at a time.
 *
 * Some versions are bad only under load. The share of requests that a new version may get would
 * leave each target nearly idle if it was spread over all of them, so it is spent on few, and in
 * bursts: most of it in the last quarter of each period. The next period tries the next targets, so
 * that no verdict rests on the speed of a few machines. All hosts select the same targets.
 */
internal object CanarySelection {
    /** Returns the ids among [newIds] to try at [elapsedMs] beside [oldCount] old targets. */
    fun select(newIds: List<String>, oldCount: Int, elapsedMs: Long): Set<String> {
        if (newIds.isEmpty()) return emptySet()
        val ordered = newIds.sortedWith(compareBy({ it.hashCode() * HASH_FACTOR }, { it }))
        val count = (oldCount / OLD_TARGETS_PER_CANARY).coerceIn(1, ordered.size)
        val start = (elapsedMs / PERIOD_MS * count % ordered.size).toInt()
        return (start until start + count).mapTo(HashSet()) { ordered[it % ordered.size] }
    }

    /** Whether [elapsedMs] lies in the part of a period in which the budget is spent. */
    fun isBurst(elapsedMs: Long): Boolean = elapsedMs % PERIOD_MS >= BURST_START_MS

    /** Long against a request, so that a target stays full for some time. */
    const val PERIOD_MS = 4_000L
    private const val BURST_START_MS = 3_000L

    /** In a burst, about a quarter of the requests may go to a twelfth of the targets. */
    private const val OLD_TARGETS_PER_CANARY = 12

    /** Spreads ids that differ in their last digits only. */
    private const val HASH_FACTOR = -0x61c88647
}
