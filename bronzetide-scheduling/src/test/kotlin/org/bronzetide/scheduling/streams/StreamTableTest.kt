package org.bronzetide.scheduling.streams

import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.scheduling.fleet.SoftwareVersion

/** The origins of streams on one host, and their ids. */
class StreamTableTest {
    private val table = StreamTable(maxStreams = 3)

    /** Guards against a stream that goes on after another one of its id could have begun. */
    @Example
    fun streamExpires() {
        table.put(id("a"), origin("1"), untilMs = 100)
        assertThat(table.find(id("a"), nowMs = 99)).isEqualTo(origin("1"))
        assertThat(table.find(id("a"), nowMs = 100)).isNull()
        assertThat(table.live(nowMs = 100)).isEmpty()
        table.expire(nowMs = 100)
        assertThat(table.size).isZero()
    }

    /** Guards against memory without a bound, and against the loss of a stream that went on. */
    @Example
    fun streamTooManyReplacesTheOneAddedLeastRecently() {
        listOf("a", "b", "c", "a", "d").forEach { table.put(id(it), origin(it), untilMs = 100) }
        assertThat(table.live(nowMs = 0).keys).containsExactly(id("c"), id("a"), id("d"))
    }

    /** Guards against the expiry of a stream that was taken up, at the time of its beginning. */
    @Example
    fun streamThatGoesOnIsKnownForLonger() {
        table.put(id("a"), origin("1"), untilMs = 100)
        table.put(id("a"), origin("1"), untilMs = 200)
        assertThat(table.find(id("a"), nowMs = 150)).isEqualTo(origin("1"))
        assertThat(table.untilMs(id("a"), nowMs = 150)).isEqualTo(200)
    }

    /** Guards against ids of similar requests that are alike, or at the same keepers. */
    @Example
    fun idsOfSimilarRequestsAreSpread() {
        val ids = (0 until REQUESTS).map { id("request-$it") }
        assertThat(ids.distinct()).hasSize(REQUESTS)
        val perSlot = ids.groupingBy { Math.floorMod(it.value, SLOTS) }.eachCount()
        assertThat(perSlot).hasSize(SLOTS)
        val expected = REQUESTS / SLOTS
        assertThat(perSlot.values).allMatch { it in expected / 2..expected * 2 }
    }

    private companion object {
        const val REQUESTS = 100_000
        const val SLOTS = 256

        fun id(request: String) = StreamId.of(request)

        fun origin(version: String) = StreamOrigin("chat", SoftwareVersion(version))
    }
}
