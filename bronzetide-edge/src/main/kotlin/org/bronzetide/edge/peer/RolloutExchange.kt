package org.bronzetide.edge.peer

import org.bronzetide.scheduling.fleet.RolloutCounts
import org.bronzetide.scheduling.fleet.RolloutDecision
import org.bronzetide.scheduling.fleet.RolloutPolicy
import org.bronzetide.scheduling.fleet.RolloutReport

/**
 * Decides when messages between hosts carry what is known of rollouts, and whether this host hears
 * from enough of the others. Confined to the control thread.
 *
 * Counts of a service with eight routes take about 700 bytes. They are sent every
 * [INTERVAL_MS] ms, so that with the summaries they stay below 3 of the 8 KB/s that a host may
 * send, and a fault that all hosts together see is known everywhere within about a second.
 */
internal class RolloutExchange(private val policy: RolloutPolicy, hasOtherSeeds: Boolean) {
    private val reportSchedule = Schedule()
    private val summarySchedule = Schedule()

    /** The most hosts that have reported to an aggregator at a time; others may be cut off. */
    private var knownHostCount = if (hasOtherSeeds) 2 else 1
    private var knownHostCountAtMs = Long.MIN_VALUE / 2

    /** The number of hosts among which the slack of a bound is divided. */
    val hostCount: Int get() = knownHostCount

    /** The reports on rollouts to send now; empty if there are none or they were just sent. */
    fun takeReports(nowMs: Long): List<RolloutReport> {
        if (policy.orders.isEmpty()) return emptyList()
        val reports = policy.ownReports(nowMs)
        return if (reportSchedule.tryTake(reports, nowMs)) reports.forMessage() else emptyList()
    }

    /** Whether the summaries to all hosts include [reports] this time. */
    fun isSummaryDue(reports: List<RolloutReport>, nowMs: Long): Boolean =
        reports.isNotEmpty() && summarySchedule.tryTake(reports, nowMs)

    /**
     * Records a summary in which [reportingCount] hosts were counted, this one included, with what
     * the others know. A host that is cut off together with a few others is not informed.
     */
    fun onSummary(reports: List<RolloutReport>, reportingCount: Int, nowMs: Long) {
        val isOutdated = nowMs - knownHostCountAtMs > HOST_COUNT_RETENTION_MS
        if (reportingCount >= knownHostCount || (isOutdated && reportingCount > 1)) {
            knownHostCount = reportingCount
            knownHostCountAtMs = nowMs
        }
        if (reportingCount * 2 > knownHostCount) policy.onHeard(nowMs)
        if (reports.isNotEmpty()) policy.updatePeerReports(reports, nowMs)
    }

    /** Counts of a final decision are of no use any more. */
    private fun List<RolloutReport>.forMessage() = map {
        if (it.isRecorded) it.copy(counts = EMPTY) else it
    }

    /** Sends at intervals, and whenever a decision has changed. */
    private class Schedule {
        private var sentAtMs = Long.MIN_VALUE / 2
        private var sentDecisions = emptyList<Pair<RolloutDecision, Boolean>>()

        fun tryTake(reports: List<RolloutReport>, nowMs: Long): Boolean {
            val decisions = reports.map { it.decision to it.isRecorded }
            val isFinal = reports.all { it.isRecorded }
            val intervalMs = if (isFinal) FINAL_INTERVAL_MS else INTERVAL_MS
            if (decisions == sentDecisions && nowMs - sentAtMs < intervalMs) return false
            sentDecisions = decisions
            sentAtMs = nowMs
            return true
        }
    }

    private companion object {
        const val INTERVAL_MS = 500L

        /** For hosts that have started since, or that the store and others could not reach. */
        const val FINAL_INTERVAL_MS = 2_000L

        /** Longer than a rollout and its longest partition. */
        const val HOST_COUNT_RETENTION_MS = 600_000L
        val EMPTY = RolloutCounts()
    }
}
