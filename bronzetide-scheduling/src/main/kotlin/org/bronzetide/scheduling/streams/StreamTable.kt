package org.bronzetide.scheduling.streams

/**
 * The origins of at most [maxStreams] streams, each until a time in milliseconds on the host's
 * clock. A stream too many replaces the one that was added least recently. Not thread-safe.
 *
 * @throws IllegalArgumentException if [maxStreams] is not positive.
 */
public class StreamTable(private val maxStreams: Int) {
    /** Ordered by the time of the last addition. */
    private val entries = LinkedHashMap<StreamId, Entry>()

    init {
        require(maxStreams > 0) { "maxStreams must be positive, but was $maxStreams" }
    }

    /** The number of streams, of which some may have expired. */
    public val size: Int get() = entries.size

    /** Adds the stream [id], or replaces what is known of it, until [untilMs]. */
    public fun put(id: StreamId, origin: StreamOrigin, untilMs: Long) {
        entries.remove(id)
        if (entries.size >= maxStreams) entries.remove(entries.keys.first())
        entries[id] = Entry(origin, untilMs)
    }

    /** Returns the origin of the stream [id], or `null` if it is unknown or has expired. */
    public fun find(id: StreamId, nowMs: Long): StreamOrigin? =
        entries[id]?.takeIf { it.untilMs > nowMs }?.origin

    /** Returns the time until which the stream [id] is known, or `null` if it is not. */
    public fun untilMs(id: StreamId, nowMs: Long): Long? =
        entries[id]?.untilMs?.takeIf { it > nowMs }

    /** Returns the streams that have not expired, those added least recently first. */
    public fun live(nowMs: Long): Map<StreamId, StreamOrigin> =
        entries.filterValues { it.untilMs > nowMs }.mapValues { it.value.origin }

    /** Removes the streams that have expired. */
    public fun expire(nowMs: Long) {
        entries.values.removeIf { it.untilMs <= nowMs }
    }

    private class Entry(val origin: StreamOrigin, val untilMs: Long)
}
