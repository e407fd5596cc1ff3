package org.bronzetide.scheduling.fleet

/** What a host, or several hosts together, know of a rollout. */
public data class RolloutReport(
    val order: RolloutOrder,
    /** The time since the order was first seen by any of the hosts, in milliseconds. */
    val elapsedMs: Long,
    val counts: RolloutCounts,
    /** The decision as far as it is known. */
    val decision: RolloutDecision = RolloutDecision.Undecided,
    /** Whether the store has [decision], so that it is final. */
    val isRecorded: Boolean = false
) {
    /** Combines the reports of different hosts on one order. */
    public operator fun plus(other: RolloutReport): RolloutReport {
        val decided = listOf(this, other).maxBy { it.decisionRank }
        return RolloutReport(
            order,
            maxOf(elapsedMs, other.elapsedMs),
            counts + other.counts,
            decided.decision,
            decided.isRecorded
        )
    }

    /** Final decisions count most, then those that a host has made by itself. */
    private val decisionRank: Int
        get() = when {
            isRecorded -> 2
            decision != RolloutDecision.Undecided -> 1
            else -> 0
        }
}
