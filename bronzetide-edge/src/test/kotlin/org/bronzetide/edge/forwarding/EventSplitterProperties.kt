package org.bronzetide.edge.forwarding

import java.lang.management.ManagementFactory
import kotlin.random.Random
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.memory.ByteCredits

/** Guards against events that are split, merged or lost when a chunk ends within an event. */
class EventSplitterProperties {
    @Property(tries = 300)
    fun eventsDoNotDependOnChunkBoundaries(@ForAll seed: Long, @ForAll usesCrLf: Boolean) {
        val end = if (usesCrLf) "\r\n" else "\n"
        val wire = (1..6).joinToString("") { "id: $it${end}data: text $it$end$end" } + "id: 7"
        val splitter = EventSplitter(ByteCredits(1_000_000))
        val events = ArrayList<EventSplitter.Event>()
        var remaining = wire.encodeToByteArray()
        val random = Random(seed)
        while (remaining.isNotEmpty()) {
            val size = minOf(random.nextInt(1, 30), remaining.size)
            events += splitter.feed(remaining.copyOf(size))
            remaining = remaining.copyOfRange(size, remaining.size)
        }
        assertThat(events.map { it.id }).containsExactly(1, 2, 3, 4, 5, 6)
        assertThat(events.joinToString("") { it.bytes.decodeToString() } + "id: 7").isEqualTo(wire)
        assertThat(splitter.incompleteEvent.decodeToString()).isEqualTo("id: 7")
    }

    /** Guards against an event without an end that stops the thread of all connections. */
    @Example
    fun longEventThatArrivesByteByByteTakesLittleTime() {
        val splitter = EventSplitter(ByteCredits(1_000_000))
        val byte = byteArrayOf('x'.code.toByte())
        val processorTime = ManagementFactory.getThreadMXBean()
        val startNs = processorTime.currentThreadCpuTime
        repeat(262_144) { splitter.feed(byte) }
        val usedNs = processorTime.currentThreadCpuTime - startNs
        assertThat(usedNs / 1_000_000).isLessThan(500)
    }

    @Example
    fun eventWithoutIdFieldHasNullId() {
        val event = EventSplitter(
            ByteCredits(1_000_000)
        ).feed("data: x\n\n".encodeToByteArray()).single()
        assertThat(event.id).isNull()
    }
}
