package org.bronzetide.scheduling.fleet

import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

/** Totals of the aggregator `hub` and of its backup, which began to count at another time. */
class PeerGrantsTest {
    private val grants = PeerGrants()

    /** Guards against debts of accounts that a backup did not know when it was first heard. */
    @Example
    fun accountThatTheBackupNamesLaterIsNotCountedTwice() {
        assertThat(change("hub", emptyMap())).isEmpty()
        assertThat(change("backup", emptyMap(), isPrimary = false)).isEmpty()
        assertThat(change("hub", mapOf("a" to 100L))).isEqualTo(mapOf("a" to 100L))
        assertThat(change("backup", mapOf("a" to 100L), isPrimary = false)["a"] ?: 0).isZero()
        assertThat(change("backup", mapOf("a" to 110L), isPrimary = false)["a"]).isEqualTo(10)
        assertThat(change("hub", mapOf("a" to 120L))["a"]).isEqualTo(10)
    }

    /** Guards against grants that are lost between two aggregators. */
    @Example
    fun backupTakesOverWithoutAGap() {
        change("backup", mapOf("a" to 7L), isPrimary = false)
        change("hub", mapOf("a" to 1_000L))
        change("hub", mapOf("a" to 1_050L))
        change("backup", mapOf("a" to 57L), isPrimary = false)
        assertThat(change("backup", mapOf("a" to 60L), isPrimary = false)["a"]).isEqualTo(3)
        assertThat(change("backup", mapOf("a" to 65L))["a"]).isEqualTo(5)
    }

    /** Guards against debts that count the same grants once for each aggregator that begins. */
    @Example
    fun grantsThatTwoNewAggregatorsBothReportAreCountedOnce() {
        grants.startEmpty(0)
        change("hub", mapOf("a" to 500L), nowMs = 2_000, ageMs = 100)
        val other = change("backup", mapOf("a" to 520L), false, nowMs = 2_010, ageMs = 60)
        assertThat(other["a"]).isEqualTo(20)
    }

    /** Guards against accounts that a host which starts charges for all grants of the past. */
    @Example
    fun totalsFromBeforeTheStartOnlySetTheBaseline() {
        grants.startEmpty(nowMs = 50_000)
        assertThat(change("hub", mapOf("a" to 9_000L), nowMs = 50_100, ageMs = 20_000)).isEmpty()
        val later = change("hub", mapOf("a" to 9_100L), nowMs = 50_200, ageMs = 20_100)
        assertThat(later["a"]).isEqualTo(100)
    }

    /** Guards against a host that forgets what it learned from a new aggregator. */
    @Example
    fun aggregatorThatIsHeardBeforeItIsThePrimaryTakesOverWithoutAGap() {
        grants.startEmpty(0)
        change("hub", mapOf("a" to 10L), nowMs = 1_000, ageMs = 900)
        change("backup", mapOf("a" to 10L), false, nowMs = 1_000, ageMs = 900)
        change("backup", mapOf("a" to 30L), false, nowMs = 1_100, ageMs = 1_000)
        val first = change("next", mapOf("a" to 250L), false, nowMs = 4_000, ageMs = 100)
        assertThat(first["a"]).isEqualTo(250)
        val second = change("next", mapOf("a" to 260L), false, nowMs = 4_100, ageMs = 200)
        assertThat(second["a"]).isEqualTo(10)
        val third = change("next", mapOf("a" to 275L), nowMs = 4_200, ageMs = 300)
        assertThat(third["a"]).isEqualTo(15)
    }

    /** Guards against units that stay charged although they were refunded. */
    @Example
    fun primaryReturnsWhatWasRefunded() {
        change("hub", mapOf("a" to 0L))
        change("hub", mapOf("a" to 50L))
        assertThat(change("hub", mapOf("a" to 20L))["a"]).isEqualTo(-30)
    }

    private fun change(
        from: String,
        totals: Map<String, Long>,
        isPrimary: Boolean = true,
        nowMs: Long = 0,
        ageMs: Long = Long.MAX_VALUE
    ) = grants.onTotals(from, totals, nowMs, isPrimary, ageMs).filterValues { it != 0L }
}
