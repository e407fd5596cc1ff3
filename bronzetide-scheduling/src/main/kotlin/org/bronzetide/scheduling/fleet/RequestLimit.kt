package org.bronzetide.scheduling.fleet

/**
 * What a target said about the requests that it takes from all hosts together: [perSecond] of them,
 * or any number if that is `null`.
 *
 * The target said so between [askedAtMs], when the request was sent, and [heardAtMs], when the head
 * of its response arrived, in milliseconds on the clock of the host that holds this.
 */
public data class RequestLimit(val perSecond: Double?, val askedAtMs: Long, val heardAtMs: Long) {
    /**
     * Returns which of this and [other] holds: the one that was said later, or the tighter one if
     * their order is unknown, as responses may overtake each other.
     */
    public fun mergedWith(other: RequestLimit): RequestLimit = when {
        other.askedAtMs >= heardAtMs -> other
        askedAtMs >= other.heardAtMs -> this
        else -> minOf(this, other, compareBy<RequestLimit> { it.rate }.thenBy { -it.heardAtMs })
    }

    private val rate: Double get() = perSecond ?: Double.POSITIVE_INFINITY

    public companion object {
        /** An unknown time of asking: before all others, and far enough from overflowing. */
        public const val ASKED_AT_UNKNOWN_MS: Long = Long.MIN_VALUE / 2
    }
}
