package org.bronzetide.edge.forwarding

import java.io.IOException
import org.bronzetide.edge.memory.ByteCredits

/**
 * Splits the bytes of a server-sent event stream into complete events with their blank lines.
 *
 * The work for each chunk is proportional to its length, however long the unfinished event is. The
 * buffer of a long unfinished event is charged to [memory] until it is closed, as many targets may
 * send events without an end at once.
 */
internal class EventSplitter(private val memory: ByteCredits) : AutoCloseable {
    private var grant: ByteCredits.Grant? = null
    private var buffer = ByteArray(INITIAL_CAPACITY)
    private var size = 0

    /** The bytes received since the last complete event. */
    val incompleteEvent: ByteArray get() = buffer.copyOf(size)

    /** Whether bytes have been received since the last complete event. */
    val isWithinEvent: Boolean get() = size > 0

    /**
     * Adds [bytes] and returns the events that are complete now, in order.
     *
     * @throws IOException if an event has more than [MAX_EVENT_BYTES] bytes, or there is no memory
     * for it.
     */
    fun feed(bytes: ByteArray): List<Event> {
        var index = maxOf(0, size - MAX_PARTIAL_TERMINATOR_BYTES)
        append(bytes)
        val events = ArrayList<Event>()
        var start = 0
        while (index < size) {
            val end = endOfEvent(index)
            if (end > 0) {
                events += Event(buffer.copyOfRange(start, end))
                start = end
                index = end
            } else {
                index++
            }
        }
        dropFirst(start)
        if (size > MAX_EVENT_BYTES) throw IOException("event exceeds $MAX_EVENT_BYTES bytes")
        return events
    }

    private fun append(bytes: ByteArray) {
        val needed = size + bytes.size
        if (needed > buffer.size) resize(maxOf(needed, 2 * buffer.size))
        bytes.copyInto(buffer, size)
        size = needed
    }

    private fun resize(capacity: Int) {
        val larger = if (capacity > UNCHARGED_BYTES) {
            memory.tryAcquire(capacity.toLong())
                ?: throw IOException("no memory for an event of more than $size bytes")
        } else {
            null
        }
        buffer = buffer.copyOf(capacity)
        grant?.close()
        grant = larger
    }

    override fun close() {
        grant?.close()
        grant = null
    }

    private fun dropFirst(count: Int) {
        if (count == 0) return
        buffer.copyInto(buffer, 0, count, size)
        size -= count
        if (buffer.size > UNCHARGED_BYTES && size < INITIAL_CAPACITY) resize(INITIAL_CAPACITY)
    }

    /** Returns the index after the blank line that begins at [index], or 0 if none does. */
    private fun endOfEvent(index: Int): Int = when {
        buffer[index] != LF -> 0
        index + 1 < size && buffer[index + 1] == LF -> index + 2
        index + 2 < size && buffer[index + 1] == CR && buffer[index + 2] == LF -> index + 3
        else -> 0
    }

    /** One event of a stream, including its blank line. */
    class Event(val bytes: ByteArray) {
        /** The event's id, or `null` if it has no numeric one. */
        val id: Long? by lazy(LazyThreadSafetyMode.NONE) {
            bytes.decodeToString().lineSequence()
                .firstOrNull { it.startsWith(ID_FIELD) }
                ?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()
        }

        /** Whether the event has content; comments only keep a connection open. */
        val hasContent: Boolean by lazy(LazyThreadSafetyMode.NONE) {
            bytes.isNotEmpty() &&
                bytes.decodeToString().lineSequence()
                    .any { it.isNotBlank() && !it.startsWith(COMMENT) }
        }
    }

    private companion object {
        const val INITIAL_CAPACITY = 4_096

        /** The capacity that every stream may have; most events are far smaller. */
        const val UNCHARGED_BYTES = 16_384
        const val LF = '\n'.code.toByte()
        const val CR = '\r'.code.toByte()
        const val ID_FIELD = "id:"
        const val COMMENT = ":"

        /** A token takes some ten bytes, and an event has few tokens. */
        const val MAX_EVENT_BYTES = 262_144

        /** The longest part of an event's terminator that may end a chunk. */
        const val MAX_PARTIAL_TERMINATOR_BYTES = 2
    }
}
