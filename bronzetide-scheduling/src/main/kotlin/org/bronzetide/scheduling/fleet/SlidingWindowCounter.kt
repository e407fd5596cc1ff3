package org.bronzetide.scheduling.fleet

/** The units that were given out in the last seconds, in slots of [SLOT_MS] milliseconds. */
internal class SlidingWindowCounter {
    private val units = LongArray(SLOTS)
    private var newestSlot = 0L

    /** Counts [count] units, which may be negative for units that were given back. */
    fun add(count: Long, nowMs: Long) {
        moveTo(nowMs / SLOT_MS)
        units[(newestSlot % SLOTS).toInt()] += count
    }

    /** The highest rate of a slot, in units a second. */
    fun peakRate(nowMs: Long): Double {
        moveTo(nowMs / SLOT_MS)
        return units.max().coerceAtLeast(0) * MS_PER_S / SLOT_MS
    }

    /** The units of the whole window. */
    fun sum(nowMs: Long): Long {
        moveTo(nowMs / SLOT_MS)
        return units.sum()
    }

    private fun moveTo(slot: Long) {
        val passed = (slot - newestSlot).coerceIn(0, SLOTS.toLong())
        for (index in 1..passed) units[((slot - passed + index) % SLOTS).toInt()] = 0
        newestSlot = maxOf(newestSlot, slot)
    }

    companion object {
        /** The window in which operators judge quotas. */
        const val WINDOW_S = 8

        /** Over the period in which hosts hear of each other, so that a slot holds whole news. */
        private const val SLOT_MS = 250L
        private const val MS_PER_S = 1_000.0
        private const val SLOTS = WINDOW_S * 4
    }
}
