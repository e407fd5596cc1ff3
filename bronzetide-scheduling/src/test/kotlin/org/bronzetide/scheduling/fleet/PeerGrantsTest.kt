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

    /** Guards against units that stay charged although they were refunded. */
    @Example
    fun primaryReturnsWhatWasRefunded() {
        change("hub", mapOf("a" to 0L))
        change("hub", mapOf("a" to 50L))
        assertThat(change("hub", mapOf("a" to 20L))["a"]).isEqualTo(-30)
    }

    private fun change(from: String, totals: Map<String, Long>, isPrimary: Boolean = true) =
        grants.onTotals(from, totals, 0, isPrimary, Long.MAX_VALUE, hasJustStarted = false)
            .filterValues { it != 0L }
}
