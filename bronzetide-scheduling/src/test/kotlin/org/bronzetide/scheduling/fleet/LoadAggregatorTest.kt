package org.bronzetide.scheduling.fleet

import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.scheduling.fleet.FleetScheduler.PeerLoad

class LoadAggregatorTest {
    private val aggregator = LoadAggregator(1_000)

    @Example
    fun summaryIsTheSumOfAllOtherHosts() {
        report("a")
        report("b")
        report("a", mapOf("t1" to PeerLoad(1, 10)), mapOf("x" to 5L))
        report("b", mapOf("t1" to PeerLoad(2, 20), "t2" to PeerLoad(1, 1)), mapOf("x" to 7L))
        val summary = aggregator.summaryFor("a")
        assertThat(summary.loads).isEqualTo(mapOf("t1" to PeerLoad(2, 20), "t2" to PeerLoad(1, 1)))
        assertThat(summary.quotaTotals).isEqualTo(mapOf("x" to 7L))
        assertThat(aggregator.summaryFor("c").loads["t1"]).isEqualTo(PeerLoad(3, 30))
    }

    @Example
    fun loadsOfAnUnresponsiveHostExpireButItsQuotaUseStays() {
        report("a")
        report("a", mapOf("t1" to PeerLoad(1, 10)), mapOf("x" to 5L))
        report("b", nowMs = 900)
        report("b", nowMs = 1_500)
        val summary = aggregator.summaryFor("b")
        assertThat(summary.loads).isEmpty()
        assertThat(summary.quotaTotals).isEqualTo(mapOf("x" to 5L))
    }

    /**
     * If the aggregator fails or a host pauses, totals of long ago must not count as new use and
     * exhaust accounts that are below their quotas.
     */
    @Example
    fun unitsConsumedBeforeTheFirstReportAreNotCounted() {
        report("a", quotaTotals = mapOf("x" to 1_000_000L))
        report("b", quotaTotals = mapOf("x" to 2_000_000L))
        assertThat(aggregator.summaryFor("c").quotaTotals["x"] ?: 0L).isEqualTo(0L)
        report("a", quotaTotals = mapOf("x" to 1_000_010L))
        assertThat(aggregator.summaryFor("b").quotaTotals).isEqualTo(mapOf("x" to 10L))
        assertThat(aggregator.summaryFor("a").quotaTotals).isEqualTo(mapOf("x" to 0L))
    }

    @Example
    fun quotaUseOfAHostThatPausedIsCountedOnce() {
        report("a", quotaTotals = mapOf("x" to 1_000_000L))
        report("a", quotaTotals = mapOf("x" to 1_000_010L))
        report("hub", nowMs = 900)
        report("hub", nowMs = 1_500)
        report("a", quotaTotals = mapOf("x" to 1_000_030L), nowMs = 1_600)
        assertThat(aggregator.summaryFor("b").quotaTotals).isEqualTo(mapOf("x" to 30L))
    }

    @Example
    fun targetIsSuspectedOnlyIfTwoHostsSuspectIt() {
        report("a", suspects = setOf("t1", "t2"))
        report("b", suspects = setOf("t1"))
        report("c")
        assertThat(aggregator.summaryFor("c").suspects).containsExactly("t1")
        assertThat(aggregator.summaryFor("a").suspects).isEmpty()
    }

    @Example
    fun slowdownsAreAveragedOverAllHostsByTheirSamples() {
        val report = LoadReport("a", emptyMap(), emptyMap())
        aggregator.onReport(report.copy(slowdowns = mapOf("t1" to LoadReport.Slowdown(6.0, 9))), 0)
        aggregator.onReport(
            report.copy(host = "b", slowdowns = mapOf("t1" to LoadReport.Slowdown(1.0, 1))),
            0
        )
        // Most reports omit slowdowns; the last reported ones stay in use.
        aggregator.onReport(report, 10)
        val withoutSamples = listOf("t1", "t2").associateWith { LoadReport.Slowdown(9.0, 0) }
        aggregator.onReport(report.copy(slowdowns = withoutSamples), 20)
        assertThat(aggregator.averageSlowdowns()).isEqualTo(mapOf("t1" to 5.5))
    }

    private fun report(
        host: String,
        loads: Map<String, PeerLoad> = emptyMap(),
        quotaTotals: Map<String, Long> = emptyMap(),
        suspects: Set<String> = emptySet(),
        nowMs: Long = 0
    ) = aggregator.onReport(LoadReport(host, loads, quotaTotals, suspects = suspects), nowMs)
}
