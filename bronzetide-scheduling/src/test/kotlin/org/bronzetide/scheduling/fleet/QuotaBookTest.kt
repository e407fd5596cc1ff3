package org.bronzetide.scheduling.fleet

import kotlin.random.Random
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.assertj.core.api.Assertions.assertThat

class QuotaBookTest {
    @Example
    fun refusalSaysWhenToComeBack() {
        val book = QuotaBook()
        assertThat(book.take("a", 100.0, 100.0, 50, 0)).isNull()
        val waitMs = book.take("a", 100.0, 100.0, 50, 0)!!
        assertThat(waitMs).isBetween(490, 510)
        assertThat(book.take("a", 100.0, 100.0, 50, waitMs)).isNull()
    }

    @Example
    fun noQuotaMeansNoLimit() {
        assertThat(QuotaBook().take("a", 0.0, 0.0, 1_000_000, 0)).isNull()
    }

    @Example
    fun totalsOfANewSourceOnlySetTheBase() {
        val book = QuotaBook()
        book.take("a", 100.0, 100.0, 1, 0)
        book.onPeerTotals("hub-1", mapOf("a" to 1_000_000L))
        assertThat(book.take("a", 100.0, 100.0, 10, 0)).isNull()
        book.onPeerTotals("hub-1", mapOf("a" to 1_000_100L))
        assertThat(book.take("a", 100.0, 100.0, 10, 0)).isNotNull()
    }

    /** A tenant floods all hosts; news of the others arrives late and at times not at all. */
    @Property(tries = 50)
    fun sumOverAllHostsStaysNearTheQuota(@ForAll seed: Long) {
        val random = Random(seed)
        val hosts = List(8) { "h$it" to QuotaBook() }
        val hub = LoadHub(1_000)
        val admitted = ArrayList<Pair<Long, Long>>()
        val perSecond = 10_000.0
        var nowMs = 0L
        while (nowMs < 20_000) {
            nowMs += 10
            hosts.forEach { (_, book) ->
                val units = askedUnits(random)
                val waitMs =
                    if (units > 0) book.take("a", perSecond, perSecond, units, nowMs) else 1
                if (waitMs == null) admitted += nowMs to units
            }
            if (nowMs % 100 == 0L) exchange(hosts, hub, random, nowMs)
        }
        val windowMs = 8_000L
        val allowed = (perSecond * 8 + perSecond) * 1.1
        for (start in 0..12_000L step 100) {
            val sum = admitted.filter { it.first in start until start + windowMs }
                .sumOf { it.second }
            assertThat(sum.toDouble()).isLessThan(allowed)
        }
        val steady = admitted.filter { it.first >= 5_000 }.sumOf { it.second } / 15.0
        assertThat(steady).isGreaterThan(perSecond * 0.85)
    }

    /** A host is asked in one step of four. */
    private fun askedUnits(random: Random): Long =
        if (random.nextInt(4) == 0) random.nextLong(50, 400) else 0

    private fun exchange(
        hosts: List<Pair<String, QuotaBook>>,
        hub: LoadHub,
        random: Random,
        nowMs: Long
    ) {
        hosts.forEach { (name, book) ->
            if (random.nextInt(20) > 0) {
                hub.onReport(LoadReport(name, emptyMap(), book.ownTotals().toMap()), nowMs)
            }
        }
        hosts.forEach { (name, book) ->
            if (random.nextInt(20) > 0) {
                book.onPeerTotals("hub", hub.summaryFor(name).quotaTotals)
            }
        }
    }
}
