package org.bronzetide.scheduling.fleet

/**
 * Adds up what hosts report of rollouts. A report replaces the host's previous one on the same
 * order; the responses of hosts that have left still count. The sums are kept up to date with each
 * report, because adding up all hosts for each receiver would take time that grows with its square.
 */
internal class RolloutSums {
    private val sums = HashMap<RolloutOrder, Sum>()

    fun onReport(host: String, reports: List<RolloutReport>, nowMs: Long) {
        reports.forEach { report ->
            sums.getOrPut(report.order) { Sum(report, nowMs) }.add(host, report, nowMs)
        }
        if (sums.isNotEmpty()) sums.values.removeIf { nowMs - it.addedAtMs > RETENTION_MS }
    }

    /** What is known of each order, with the responses of all hosts except [receiver]. */
    fun summaryFor(receiver: String, nowMs: Long): List<RolloutReport> =
        sums.values.map { it.without(receiver, nowMs) }

    private class Sum(first: RolloutReport, nowMs: Long) {
        private val byHost = HashMap<String, RolloutCounts>()
        private var report = first.copy(counts = RolloutCounts())
        private var elapsedAtMs = nowMs
        var addedAtMs = nowMs
            private set

        fun add(host: String, added: RolloutReport, nowMs: Long) {
            val previous = byHost.put(host, added.counts) ?: RolloutCounts()
            val others = report.at(nowMs).copy(counts = report.counts - previous)
            report = others + added
            elapsedAtMs = nowMs
            addedAtMs = nowMs
        }

        fun without(receiver: String, nowMs: Long): RolloutReport {
            val own = byHost[receiver] ?: RolloutCounts()
            return report.at(nowMs).copy(counts = report.counts - own)
        }

        private fun RolloutReport.at(nowMs: Long) =
            copy(elapsedMs = elapsedMs + (nowMs - elapsedAtMs).coerceAtLeast(0))
    }

    private companion object {
        /** Longer than a host that knows the order is without a connection. */
        const val RETENTION_MS = 600_000L
    }
}
