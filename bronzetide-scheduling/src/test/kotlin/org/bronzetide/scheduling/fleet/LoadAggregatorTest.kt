package org.bronzetide.scheduling.fleet

import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.scheduling.fleet.FleetScheduler.PeerLoad

class LoadAggregatorTest {
    private val hub = LoadAggregator(1_000)

    @Example
    fun summaryAddsUpAllOthers() {
        report("a")
        report("b")
        report("a", mapOf("t1" to PeerLoad(1, 10)), mapOf("x" to 5L))
        report("b", mapOf("t1" to PeerLoad(2, 20), "t2" to PeerLoad(1, 1)), mapOf("x" to 7L))
        val summary = hub.summaryFor("a")
        assertThat(summary.loads).isEqualTo(mapOf("t1" to PeerLoad(2, 20), "t2" to PeerLoad(1, 1)))
        assertThat(summary.quotaTotals).isEqualTo(mapOf("x" to 7L))
        assertThat(hub.summaryFor("c").loads["t1"]).isEqualTo(PeerLoad(3, 30))
    }

    @Example
    fun silentHostsLoadsLapseButItsQuotaUseStays() {
        report("a")
        report("a", mapOf("t1" to PeerLoad(1, 10)), mapOf("x" to 5L))
        report("b", nowMs = 900)
        report("b", nowMs = 1_500)
        val summary = hub.summaryFor("b")
        assertThat(summary.loads).isEmpty()
        assertThat(summary.quotaTotals).isEqualTo(mapOf("x" to 5L))
    }

    /** The load pattern: the hub dies, or a host pauses, while accounts are below their quotas. */
    @Example
    fun whatWasTakenBeforeTheFirstReportIsNotNews() {
        report("a", quotaTotals = mapOf("x" to 1_000_000L))
        report("b", quotaTotals = mapOf("x" to 2_000_000L))
        assertThat(hub.summaryFor("c").quotaTotals["x"] ?: 0L).isEqualTo(0L)
        report("a", quotaTotals = mapOf("x" to 1_000_010L))
        assertThat(hub.summaryFor("b").quotaTotals).isEqualTo(mapOf("x" to 10L))
        assertThat(hub.summaryFor("a").quotaTotals).isEqualTo(mapOf("x" to 0L))
    }

    @Example
    fun hostThatWasSilentForAWhileIsCountedOnce() {
        report("a", quotaTotals = mapOf("x" to 1_000_000L))
        report("a", quotaTotals = mapOf("x" to 1_000_010L))
        report("hub", nowMs = 900)
        report("hub", nowMs = 1_500)
        report("a", quotaTotals = mapOf("x" to 1_000_030L), nowMs = 1_600)
        assertThat(hub.summaryFor("b").quotaTotals).isEqualTo(mapOf("x" to 30L))
    }

    @Example
    fun aTargetIsSuspectedOnlyOnTwoHostsWord() {
        report("a", suspects = setOf("t1", "t2"))
        report("b", suspects = setOf("t1"))
        report("c")
        assertThat(hub.summaryFor("c").suspects).containsExactly("t1")
        assertThat(hub.summaryFor("a").suspects).isEmpty()
    }

    @Example
    fun speedsAreAveragedOverAllHostsByTheirSamples() {
        val report = LoadReport("a", emptyMap(), emptyMap())
        hub.onReport(report.copy(slowdowns = mapOf("t1" to LoadReport.Slowdown(6.0, 9))), 0)
        hub.onReport(
            report.copy(host = "b", slowdowns = mapOf("t1" to LoadReport.Slowdown(1.0, 1))),
            0
        )
        // Most reports tell no speeds; the last ones stay.
        hub.onReport(report, 10)
        assertThat(hub.averageSlowdowns()).isEqualTo(mapOf("t1" to 5.5))
    }

    private fun report(
        host: String,
        loads: Map<String, PeerLoad> = emptyMap(),
        quotaTotals: Map<String, Long> = emptyMap(),
        suspects: Set<String> = emptySet(),
        nowMs: Long = 0
    ) = hub.onReport(LoadReport(host, loads, quotaTotals, suspects = suspects), nowMs)
}
