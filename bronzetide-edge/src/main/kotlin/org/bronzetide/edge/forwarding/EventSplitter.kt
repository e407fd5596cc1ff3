package org.bronzetide.edge.forwarding

import java.io.IOException

/** Splits the bytes of a server-sent event stream into complete events with their blank lines. */
internal class EventSplitter {
    private var pending = ByteArray(0)

    /** The bytes received since the last complete event. */
    val incompleteEvent: ByteArray get() = pending

    /**
     * Adds [bytes] and returns the events that are complete now, in order.
     *
     * @throws IOException if an event has more than [MAX_EVENT_BYTES] bytes.
     */
    fun feed(bytes: ByteArray): List<Event> {
        val data = if (pending.isEmpty()) bytes else pending + bytes
        val events = ArrayList<Event>()
        var start = 0
        var index = maxOf(0, pending.size - MAX_PARTIAL_TERMINATOR_BYTES)
        while (index < data.size) {
            val end = endOfEvent(data, index)
            if (end > 0) {
                events += Event(data.copyOfRange(start, end))
                start = end
                index = end
            } else {
                index++
            }
        }
        pending = data.copyOfRange(start, data.size)
        if (pending.size > MAX_EVENT_BYTES) {
            throw IOException("event exceeds $MAX_EVENT_BYTES bytes")
        }
        return events
    }

    /** Returns the index after the blank line that begins at [index], or 0 if none does. */
    private fun endOfEvent(data: ByteArray, index: Int): Int = when {
        data[index] != LF -> 0
        index + 1 < data.size && data[index + 1] == LF -> index + 2
        index + 2 < data.size && data[index + 1] == CR && data[index + 2] == LF -> index + 3
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
