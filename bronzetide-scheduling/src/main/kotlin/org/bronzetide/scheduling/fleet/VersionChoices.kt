package org.bronzetide.scheduling.fleet

/**
 * Follows the scheduler's choices among the free targets of one service.
 *
 * The scheduler asks of each free target whether it is allowed, and may make several choices before
 * the first of them is counted. A choice begins when a target is asked about that was already asked
 * about in the current one.
 */
internal class VersionChoices {
    private val asked = HashSet<String>()
    private var isAnyAllowed = false
    private var isSteered = false
    private var suspendedUntilMs = Long.MIN_VALUE
    private var isSteeringFailed = false

    /** The choices that have led to a send which has not been counted yet. */
    var uncounted = 0
        private set

    /** Records that the scheduler asks about [targetId]. */
    fun onAsked(targetId: String) {
        if (asked.add(targetId)) return
        if (isAnyAllowed) uncounted++
        // Old targets were withheld, and no new one was free.
        if (isSteered && !isAnyAllowed) isSteeringFailed = true
        asked.clear()
        asked += targetId
        isAnyAllowed = false
        isSteered = false
    }

    /** Records that the target that was asked about last is allowed. */
    fun onAllowed() {
        isAnyAllowed = true
    }

    /**
     * Records that a send was counted. The scheduler reports its sends only after all choices that
     * it makes at a time.
     */
    fun onCounted() {
        asked.clear()
        isAnyAllowed = false
        isSteered = false
        uncounted = 0
    }

    /** Whether old targets may be withheld from the current choice, so that a new one is taken. */
    fun trySteer(nowMs: Long): Boolean {
        if (isSteeringFailed) {
            isSteeringFailed = false
            suspendedUntilMs = maxOf(suspendedUntilMs, nowMs + FAILED_PAUSE_MS)
        }
        if (nowMs < suspendedUntilMs) return false
        isSteered = true
        return true
    }

    /** Whether [trySteer] would allow that for the next choice. */
    fun wouldSteer(nowMs: Long): Boolean {
        val hasFailed = isSteeringFailed || (isSteered && !isAnyAllowed)
        return !hasFailed && nowMs >= suspendedUntilMs
    }

    /** Withholds no targets before [untilMs]. */
    fun suspend(untilMs: Long) {
        suspendedUntilMs = maxOf(suspendedUntilMs, untilMs)
    }

    private companion object {
        /** The next decision on a request that found no free target is 50 ms later. */
        const val FAILED_PAUSE_MS = 100L
    }
}
