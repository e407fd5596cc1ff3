package org.bronzetide.edge.streams

import java.nio.ByteBuffer
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.TimerService
import org.bronzetide.edge.peer.PeerMessage
import org.bronzetide.scheduling.streams.StreamId
import org.bronzetide.scheduling.streams.StreamOrigin

/**
 * Sends the origins of streams to their keepers, with several streams in one message where it can.
 * New streams are sent within [FLUSH_DELAY_MS]; those that a keeper lacks as it or the service was
 * another one before are sent one message at a time.
 *
 * Confined to the control thread.
 */
internal class StreamSender(
    private val clock: MonotonicClock,
    private val timers: TimerService,
    private val find: (StreamId) -> StreamOrigin?,
    private val untilMs: (StreamId) -> Long?,
    /** Called with the name of the keeper. */
    private val send: (String, PeerMessage.StreamPush) -> Unit
) {
    /** The streams to send, by the name of the keeper. */
    private val due = HashMap<String, LinkedHashSet<StreamId>>()
    private val backlog = LinkedHashMap<String, LinkedHashSet<StreamId>>()
    private var isFlushScheduled = false
    private var isBacklogScheduled = false

    /** Sends the stream [id], which has begun or gone on, to [keeper]. */
    fun sendSoon(id: StreamId, keeper: String) {
        due.getOrPut(keeper) { LinkedHashSet() } += id
        if (isFlushScheduled) return
        isFlushScheduled = true
        timers.after(FLUSH_DELAY_MS) {
            isFlushScheduled = false
            due.forEach { (name, ids) -> sendAll(name, ids) }
            due.clear()
        }
    }

    /** Sends the stream [id] to [keeper], after those for which this was called before. */
    fun sendLater(id: StreamId, keeper: String) {
        backlog.getOrPut(keeper) { LinkedHashSet() } += id
        scheduleBacklog()
    }

    private fun scheduleBacklog() {
        if (isBacklogScheduled) return
        isBacklogScheduled = true
        timers.after(BACKLOG_INTERVAL_MS) {
            isBacklogScheduled = false
            sendBacklog()
            if (backlog.isNotEmpty()) scheduleBacklog()
        }
    }

    /** Sends some streams to one keeper, and to the others in turn. */
    private fun sendBacklog() {
        val (keeper, ids) = backlog.entries.firstOrNull() ?: return
        backlog.remove(keeper)
        val next = ids.take(MAX_BACKLOG_STREAMS)
        sendAll(keeper, next)
        ids.removeAll(next.toSet())
        if (ids.isNotEmpty()) backlog[keeper] = ids
    }

    private fun sendAll(keeper: String, ids: Collection<StreamId>) {
        val groups = ids.groupBy(::keyOf).flatMap { (key, members) ->
            members.chunked(MAX_STREAMS_PER_GROUP).mapNotNull { key?.toGroup(it) }
        }
        var message = ArrayList<PeerMessage.StreamGroup>()
        for (group in groups) {
            if (message.isNotEmpty() && message.sumOf(::sizeOf) + sizeOf(group) > MAX_BYTES) {
                send(keeper, PeerMessage.StreamPush(message))
                message = ArrayList()
            }
            message += group
        }
        if (message.isNotEmpty()) send(keeper, PeerMessage.StreamPush(message))
    }

    private fun keyOf(id: StreamId): Key? {
        val origin = find(id) ?: return null
        val remainingMs = (untilMs(id) ?: return null) - clock.nowMs()
        return Key(origin, remainingMs / MS_PER_S)
    }

    private fun sizeOf(group: PeerMessage.StreamGroup): Int = GROUP_OVERHEAD_BYTES +
        group.service.encodeToByteArray().size +
        group.version.encodeToByteArray().size +
        group.ids.size

    private data class Key(val origin: StreamOrigin, val remainingS: Long) {
        fun toGroup(ids: List<StreamId>) = group(origin, remainingS * MS_PER_S, ids)
    }

    companion object {
        /** Until then, a stream is unknown to others if its host is killed. */
        private const val FLUSH_DELAY_MS = 50L

        /** With [MAX_BACKLOG_STREAMS] some 4 KB/s, while there is a backlog. */
        private const val BACKLOG_INTERVAL_MS = 100L
        private const val MAX_BACKLOG_STREAMS = 32
        private const val MAX_STREAMS_PER_GROUP = 64

        /** With the rest of a message, less than the usual size of a packet. */
        private const val MAX_BYTES = 1_000
        private const val GROUP_OVERHEAD_BYTES = 16
        private const val MS_PER_S = 1_000L

        /**
         * Returns the message on the streams [ids] of [origin]. [remainingMs] is rounded down, so
         * that nothing lasts longer by being sent.
         */
        fun group(
            origin: StreamOrigin,
            remainingMs: Long,
            ids: List<StreamId>
        ): PeerMessage.StreamGroup {
            val bytes = ByteBuffer.allocate(ids.size * Long.SIZE_BYTES)
            ids.forEach { bytes.putLong(it.value) }
            return PeerMessage.StreamGroup(
                origin.service,
                origin.version.name,
                (remainingMs / MS_PER_S).toInt(),
                bytes.array()
            )
        }
    }
}
