package org.bronzetide.edge.peer

import org.bronzetide.coordination.MonotonicClock

/**
 * Joins the parts of messages. A message of which a part is lost is lost as a whole, as is one that
 * is not complete after [TIMEOUT_MS]. What is kept meanwhile is bounded; the oldest is dropped
 * first. Not thread-safe.
 */
internal class PeerMessageJoiner(private val clock: MonotonicClock) {
    private val incomplete = LinkedHashMap<Key, Parts>()

    /** The bytes of the parts that are kept. */
    var heldByteCount = 0
        private set

    /** Adds a part from [sender]; returns the message's bytes if it is complete now. */
    fun add(sender: String, part: PeerMessage.Fragment): ByteArray? {
        dropOld()
        if (!isValid(part)) return null
        val key = Key(sender, part.message, part.count)
        val parts = incomplete.getOrPut(key) { Parts(part.count, clock.nowMs()) }
        if (!parts.tryAdd(part)) return null
        heldByteCount += part.bytes.size
        if (!parts.isComplete) return null.also { dropExcess() }
        incomplete.remove(key)
        heldByteCount -= parts.byteCount
        return parts.join()
    }

    private fun isValid(part: PeerMessage.Fragment): Boolean =
        part.count in 2..PeerMessageCodec.MAX_PARTS &&
            part.index in 0 until part.count &&
            part.bytes.size <= PeerMessageCodec.MAX_DATAGRAM_BYTES

    private fun dropOld() {
        val nowMs = clock.nowMs()
        while (true) {
            val eldest = incomplete.entries.firstOrNull() ?: return
            if (nowMs - eldest.value.addedAtMs < TIMEOUT_MS) return
            drop(eldest)
        }
    }

    private fun dropExcess() {
        while (heldByteCount > MAX_HELD_BYTES || incomplete.size > MAX_INCOMPLETE) {
            drop(incomplete.entries.first())
        }
    }

    private fun drop(entry: Map.Entry<Key, Parts>) {
        heldByteCount -= entry.value.byteCount
        incomplete.remove(entry.key)
    }

    private data class Key(val sender: String, val message: Long, val count: Int)

    private class Parts(count: Int, val addedAtMs: Long) {
        private val parts = arrayOfNulls<ByteArray>(count)
        private var missing = count
        var byteCount = 0
            private set

        val isComplete: Boolean get() = missing == 0

        fun tryAdd(part: PeerMessage.Fragment): Boolean {
            if (parts[part.index] != null) return false
            parts[part.index] = part.bytes
            missing--
            byteCount += part.bytes.size
            return true
        }

        fun join(): ByteArray {
            val joined = ByteArray(byteCount)
            var end = 0
            for (part in parts.requireNoNulls()) {
                part.copyInto(joined, end)
                end += part.size
            }
            return joined
        }
    }

    private companion object {
        /** The parts of a message are sent at once; hosts may pause for a second. */
        const val TIMEOUT_MS = 2_000L

        /** Of a heap of 64 MB; eight of the largest messages, or some hundred of two parts. */
        const val MAX_HELD_BYTES = 4 shl 20
        const val MAX_INCOMPLETE = 1_000
    }
}
