package org.bronzetide.coordination

/** A clock that never goes back. Its origin is arbitrary and differs between hosts. */
public fun interface MonotonicClock {
    /** Returns the time since the clock's origin, in milliseconds. */
    public fun nowMs(): Long

    public companion object {
        /** The host's monotonic clock. */
        public val System: MonotonicClock =
            MonotonicClock { java.lang.System.nanoTime() / 1_000_000 }
    }
}
