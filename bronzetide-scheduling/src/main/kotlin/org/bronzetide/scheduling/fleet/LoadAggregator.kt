package org.bronzetide.scheduling.fleet

/** The report of one host to the load aggregator. */
public data class LoadReport(
    val host: String,
    /** Its requests that have not ended, by target. */
    val loads: Map<String, FleetScheduler.PeerLoad>,
    /** The units of quota that it has consumed in total, by account. */
    val quotaTotals: Map<String, Long>,
    /** The totals when it last got an update. Units consumed since then may not be counted yet. */
    val quotaTotalsAtLastUpdate: Map<String, Long> = quotaTotals,
    /** The targets that are ejected on it or want no requests from it. */
    val suspects: Set<String> = emptySet(),
    /** The slowdowns of targets that it observed since its previous report. */
    val slowdowns: Map<String, Slowdown> = emptyMap(),
    /** Its requests that run or wait, by service and rank. */
    val demands: Map<String, Map<Int, Int>> = emptyMap(),
    /** What it knows of rollouts, with its own responses. */
    val rollouts: List<RolloutReport> = emptyList()
) {
    /** How many times longer than usual a target took, averaged over [samples] responses. */
    public data class Slowdown(val factor: Double, val samples: Int)
}

/** The combined reports of all hosts except the receiver. */
public data class LoadSummary(
    val loads: Map<String, FleetScheduler.PeerLoad>,
    val quotaTotals: Map<String, Long>,
    /** The targets that are suspected by at least two other hosts, or by the only other one. */
    val suspects: Set<String>,
    /** The number of hosts that have reported, including the receiver. */
    val hostCount: Int,
    /** The requests that run or wait, by service and rank. */
    val demands: Map<String, Map<Int, Int>> = emptyMap()
)

/**
 * Combines the reports of all hosts on the one host that the others report to.
 *
 * Loads of a host without a report for [reportTimeoutMs] milliseconds are dropped. Quota use of a
 * host counts from its last update before its first report here: what it consumed earlier was
 * counted by another aggregator, or is outdated. Single-threaded.
 */
public class LoadAggregator(private val reportTimeoutMs: Long) {
    private val reports = HashMap<String, ReceivedReport>()
    private val quotaUse = HashMap<String, QuotaUse>()
    private val quotaTotals = HashMap<String, Long>()
    private val unannounced = HashMap<String, Long>()
    private val slowdowns = HashMap<String, RecentSlowdown>()
    private val rollouts = RolloutSums()
    private var startedAtMs = 0L

    /** Adds a host's report, which replaces its previous one. */
    public fun onReport(report: LoadReport, nowMs: Long) {
        expire(nowMs)
        if (reports.isEmpty()) restart(nowMs)
        reports[report.host] = ReceivedReport(report, nowMs)
        report.slowdowns.filterValues { it.samples > 0 }.forEach { (target, observed) ->
            slowdowns.getOrPut(target) { RecentSlowdown() }.add(observed, nowMs)
        }
        rollouts.onReport(report.host, report.rollouts, nowMs)
        val use = quotaUse.getOrPut(report.host) { QuotaUse(report.quotaTotalsAtLastUpdate) }
        use.lastReportAtMs = nowMs
        report.quotaTotals.forEach { (account, total) ->
            val delta = total - (use.reported.put(account, total) ?: 0)
            use.counted.merge(account, delta, Long::plus)
            quotaTotals.merge(account, delta, Long::plus)
            if (delta != 0L) unannounced.merge(account, delta, Long::plus)
        }
    }

    /** The units counted since the last call of [onAnnounced], by account. */
    public fun unannounced(): Map<String, Long> = unannounced

    /** Must be called when all hosts have been sent their totals of [accounts], or of all. */
    public fun onAnnounced(accounts: Set<String>? = null) {
        if (accounts == null) unannounced.clear() else unannounced.keys.removeAll(accounts)
    }

    /** The units that all hosts except [receiver] have consumed, by account. */
    public fun quotaTotalsFor(receiver: String): Map<String, Long> {
        val own = quotaUse[receiver]?.counted.orEmpty()
        return quotaTotals.mapValues { (account, total) -> total - (own[account] ?: 0) }
    }

    /** How long hosts have been reporting here without interruption, in milliseconds. */
    public fun ageMs(nowMs: Long): Long = nowMs - startedAtMs

    /** The hosts whose reports have not expired. */
    public fun hosts(): Set<String> = reports.keys

    /** Drops the hosts that have not reported in time. */
    public fun expire(nowMs: Long) {
        reports.values.removeIf { nowMs - it.receivedAtMs > reportTimeoutMs }
        slowdowns.values.removeIf { nowMs - it.lastSampleAtMs > SLOWDOWN_RETENTION_MS }
        quotaUse.values.removeIf { nowMs - it.lastReportAtMs > QUOTA_USE_RETENTION_MS }
    }

    /** The slowdowns of targets, averaged over the most recent samples of all hosts. */
    public fun averageSlowdowns(): Map<String, Double> = slowdowns.mapValues { it.value.average }

    /** What is known of rollouts at [nowMs], with the responses of all hosts except [receiver]. */
    public fun rolloutsFor(receiver: String, nowMs: Long): List<RolloutReport> =
        rollouts.summaryFor(receiver, nowMs)

    /** The combined reports of all hosts except [receiver]. */
    public fun summaryFor(receiver: String): LoadSummary {
        val loads = HashMap<String, FleetScheduler.PeerLoad>()
        reports.forEach { (host, received) ->
            if (host == receiver) return@forEach
            received.report.loads.forEach { (target, load) ->
                loads.merge(target, load) { a, b ->
                    FleetScheduler.PeerLoad(a.count + b.count, a.promptTokens + b.promptTokens)
                }
            }
        }
        val counts = reports.filterKeys { it != receiver }.values
            .flatMap { it.report.suspects }.groupingBy { it }.eachCount()
        val minSuspecting = minOf(MIN_SUSPECTING_HOSTS, reports.size - 1)
        val suspects = counts.filterValues { it >= minSuspecting }.keys.toSet()
        return LoadSummary(
            loads,
            quotaTotalsFor(receiver),
            suspects,
            reports.size,
            demandsWithout(receiver)
        )
    }

    private fun demandsWithout(receiver: String): Map<String, Map<Int, Int>> {
        val demands = HashMap<String, HashMap<Int, Int>>()
        reports.filterKeys { it != receiver }.values.forEach { received ->
            received.report.demands.forEach { (service, byRank) ->
                val sums = demands.getOrPut(service) { HashMap() }
                byRank.forEach { (rank, count) -> sums.merge(rank, count, Int::plus) }
            }
        }
        return demands
    }

    private fun restart(nowMs: Long) {
        startedAtMs = nowMs
        quotaUse.clear()
        quotaTotals.clear()
        unannounced.clear()
    }

    private class ReceivedReport(val report: LoadReport, val receivedAtMs: Long)

    /** The average over the most recent samples of one target, from all hosts. */
    private class RecentSlowdown {
        var average = 1.0
            private set
        var lastSampleAtMs = 0L
            private set
        private var weight = 0

        fun add(observed: LoadReport.Slowdown, nowMs: Long) {
            val total = weight + observed.samples
            average += (observed.factor - average) * observed.samples / total
            weight = minOf(total, MAX_SLOWDOWN_SAMPLES)
            lastSampleAtMs = nowMs
        }
    }

    /** The quota use of one host, by account. */
    private class QuotaUse(first: Map<String, Long>) {
        /** The totals of its last report. */
        val reported = HashMap(first)

        /** Its part of the totals here. */
        val counted = HashMap<String, Long>()
        var lastReportAtMs = 0L
    }

    private companion object {
        /** A single host may be the only one whose network path to a target is broken. */
        const val MIN_SUSPECTING_HOSTS = 2

        /** About the number of samples that an average covers; targets turn slow at any moment. */
        const val MAX_SLOWDOWN_SAMPLES = 20
        const val SLOWDOWN_RETENTION_MS = 30_000L

        /** Longer than the longest pause or partition after which a host resumes its reports. */
        const val QUOTA_USE_RETENTION_MS = 600_000L
    }
}
