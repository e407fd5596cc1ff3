package org.bronzetide.edge.forwarding

import kotlin.random.Random
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.assertj.core.api.Assertions.assertThat

class EventSplitterProperties {
    @Property(tries = 300)
    fun eventsAreTheSameHoweverTheBytesAreCut(
        @ForAll seed: Long,
        @ForAll isCarriageReturn: Boolean
    ) {
        val end = if (isCarriageReturn) "\r\n" else "\n"
        val wire = (1..6).joinToString("") { "id: $it${end}data: text $it$end$end" } + "id: 7"
        val splitter = EventSplitter()
        val events = ArrayList<EventSplitter.Event>()
        var rest = wire.encodeToByteArray()
        val random = Random(seed)
        while (rest.isNotEmpty()) {
            val size = minOf(random.nextInt(1, 30), rest.size)
            events += splitter.feed(rest.copyOf(size))
            rest = rest.copyOfRange(size, rest.size)
        }
        assertThat(events.map { it.id }).containsExactly(1, 2, 3, 4, 5, 6)
        assertThat(events.joinToString("") { it.bytes.decodeToString() } + "id: 7").isEqualTo(wire)
        assertThat(splitter.incompleteEvent.decodeToString()).isEqualTo("id: 7")
    }

    @Example
    fun eventWithoutIdHasNone() {
        val event = EventSplitter().feed("data: x\n\n".encodeToByteArray()).single()
        assertThat(event.id).isNull()
    }
}
