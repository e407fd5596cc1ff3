package org.bronzetide.edge.streams

import org.bronzetide.platform.fleet.HostSettings
import org.bronzetide.platform.fleet.StreamOriginsEntry
import org.bronzetide.scheduling.streams.StreamOrigin

/** How often a host may write its streams to the store, and how many of them. */
internal class SnapshotBudget(
    private val settings: HostSettings,
    /** The number of hosts that write, this one included. */
    private val hostCount: () -> Int
) {
    /** The least interval between two writes in milliseconds, whatever their size. */
    val rateIntervalMs: Long
        get() {
            val writesPerS = settings.storeWritesPerS * SHARE_OF_WRITES
            val intervalMs = hosts * MS_PER_S / writesPerS.coerceAtLeast(MIN_WRITES_PER_S)
            return intervalMs.toLong().coerceAtLeast(MIN_INTERVAL_MS)
        }

    /**
     * The largest object in bytes. Each host reads those of all hosts at its start, so that their
     * sum is bounded as well.
     */
    val maxBytes: Int
        get() = minOf(settings.storeObjectBytes / PARTS_OF_OBJECT, MAX_BYTES_OF_ALL / hosts)

    /** The interval after a write of [bytes] in milliseconds. */
    fun intervalMs(bytes: Int): Long =
        maxOf(rateIntervalMs, bytes * MS_PER_S.toLong() / MAX_BYTES_PER_S)

    /** The bytes that a group of streams takes besides their ids, at most. */
    fun headBytes(origin: StreamOrigin): Int = StreamOriginsEntry.ENCODED_GROUP_BYTES +
        MAX_BYTES_PER_CHAR * (origin.service.length + origin.version.name.length)

    private val hosts get() = hostCount().coerceAtLeast(1)

    internal companion object {
        const val MIN_INTERVAL_MS = 1_000L

        /** The share of the store's writes that all hosts together may use. */
        const val SHARE_OF_WRITES = 0.05

        /** The state of a host's control plane may take 8 KB/s. */
        private const val MAX_BYTES_PER_S = 6_000
        private const val PARTS_OF_OBJECT = 4
        private const val MAX_BYTES_OF_ALL = 2_097_152
        private const val MIN_WRITES_PER_S = 0.01
        private const val MS_PER_S = 1_000

        /** A control character takes six bytes, others up to nine in percent encoding. */
        private const val MAX_BYTES_PER_CHAR = 9
    }
}
