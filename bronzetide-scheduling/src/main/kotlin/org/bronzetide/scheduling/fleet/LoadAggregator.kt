package org.bronzetide.scheduling.fleet

/** What one host reports of itself. */
public data class LoadReport(
    val host: String,
    /** Its sends that have not ended, by target. */
    val loads: Map<String, FleetScheduler.PeerLoad>,
    /** What it took of each account's quota in all. */
    val quotaTotals: Map<String, Long>,
    /** The same when it last heard of the others; what it took since, no hub may have counted. */
    val quotaTotalsAtLastUpdate: Map<String, Long> = quotaTotals,
    /** The targets that failed there lately. */
    val suspects: Set<String> = emptySet(),
    /** The speeds of targets as learned there; empty in most reports, as they change slowly. */
    val slowdowns: Map<String, Slowdown> = emptyMap()
) {
    /** How much longer a target takes than is usual, as the average of [samples] answers. */
    public data class Slowdown(val factor: Double, val samples: Int)
}

/** What all hosts but the receiver have reported. */
public data class LoadSummary(
    val loads: Map<String, FleetScheduler.PeerLoad>,
    val quotaTotals: Map<String, Long>,
    /** The targets that failed lately at two hosts or more, or at the only other one. */
    val suspects: Set<String>,
    /** The hosts that the summary covers, the receiver included. */
    val hostCount: Int
)

/**
 * Adds up the reports of all hosts, for the one host that the others report to.
 *
 * Loads of a host that fell silent are dropped after [reportTimeoutMs]. What hosts took of quotas
 * counts from the last news that they had before their first report to this hub: what they took
 * earlier was counted by another hub, or is past. Single-threaded.
 */
public class LoadAggregator(private val reportTimeoutMs: Long) {
    private val reports = HashMap<String, Received>()
    private val quotaUse = HashMap<String, QuotaUse>()
    private val quotaTotals = HashMap<String, Long>()
    private val slowdowns = HashMap<String, Map<String, LoadReport.Slowdown>>()
    private var startedAtMs = 0L

    /** Takes a host's report. */
    public fun onReport(report: LoadReport, nowMs: Long) {
        expire(nowMs)
        if (reports.isEmpty()) startOver(nowMs)
        reports[report.host] = Received(report, nowMs)
        if (report.slowdowns.isNotEmpty()) slowdowns[report.host] = report.slowdowns
        val use = quotaUse.getOrPut(report.host) { QuotaUse(report.quotaTotalsAtLastUpdate) }
        use.heardAtMs = nowMs
        report.quotaTotals.forEach { (account, total) ->
            val news = total - (use.reported.put(account, total) ?: 0)
            use.counted.merge(account, news, Long::plus)
            quotaTotals.merge(account, news, Long::plus)
        }
    }

    /** How long hosts have been reporting to this hub without a break. */
    public fun ageMs(nowMs: Long): Long = nowMs - startedAtMs

    /** The hosts that report now. */
    public fun hosts(): Set<String> = reports.keys

    /** Forgets the hosts that fell silent. */
    public fun expire(nowMs: Long) {
        reports.values.removeIf { nowMs - it.atMs > reportTimeoutMs }
        slowdowns.keys.retainAll(reports.keys)
        quotaUse.values.removeIf { nowMs - it.heardAtMs > FORGOTTEN_MS }
    }

    /** The speeds of targets, averaged over what all hosts learned. */
    public fun averageSlowdowns(): Map<String, Double> {
        val sums = HashMap<String, LoadReport.Slowdown>()
        slowdowns.values.forEach { learned ->
            learned.forEach { (target, slowdown) ->
                val weighted = LoadReport.Slowdown(
                    slowdown.factor * slowdown.samples,
                    slowdown.samples
                )
                sums.merge(target, weighted) { a, b ->
                    LoadReport.Slowdown(a.factor + b.factor, a.samples + b.samples)
                }
            }
        }
        return sums.mapValues { it.value.factor / it.value.samples }
    }

    /** What all hosts but [receiver] have reported. */
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
        val needed = minOf(WITNESSES, reports.size - 1)
        val suspects = counts.filterValues { it >= needed }.keys.toSet()
        val own = quotaUse[receiver]?.counted.orEmpty()
        val totals = quotaTotals.mapValues { (account, total) -> total - (own[account] ?: 0) }
        return LoadSummary(loads, totals, suspects, reports.size)
    }

    private fun startOver(nowMs: Long) {
        startedAtMs = nowMs
        quotaUse.clear()
        quotaTotals.clear()
    }

    private class Received(val report: LoadReport, val atMs: Long)

    /** What one host took of quotas, by account. */
    private class QuotaUse(first: Map<String, Long>) {
        /** As it last reported. */
        val reported = HashMap(first)

        /** What is in the totals of it. */
        val counted = HashMap<String, Long>()
        var heardAtMs = 0L
    }

    private companion object {
        /** One host alone may have a broken path of its own to a target. */
        const val WITNESSES = 2

        /** Over the longest freeze or cut, after which a host reports what it took meanwhile. */
        const val FORGOTTEN_MS = 600_000L
    }
}
