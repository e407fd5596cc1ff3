package org.bronzetide.scheduling.fleet

/**
 * Judges a target by how the requests sent to it ended; what it says of itself is not asked.
 *
 * Failures in a row, or a large share of them, give the target a rest. Rests grow as long as they
 * are followed by more failures, and shrink to the first length only after a run of successes, so
 * that a target that goes up and down by turns comes back slowly.
 */
internal class TargetHealth {
    /** Until when the target gets no requests if others have room. */
    var ejectedUntilMs = 0L
        private set
    private var failureShare = 0.0
    private var failuresInRow = 0
    private var successesInRow = 0
    private var ejections = 0

    /** Notes an outcome and says whether the target should get a rest. */
    fun onOutcome(outcome: FleetOutcome): Boolean = when (outcome) {
        FleetOutcome.ANSWERED -> {
            onSuccess()
            false
        }

        // Some requests fail at any target, so that errors in a row say little.
        FleetOutcome.ERROR -> {
            count(isFailure = true)
            failureShare >= FAILURE_SHARE_TO_EJECT
        }

        FleetOutcome.FAILED, FleetOutcome.UNREACHABLE -> {
            count(isFailure = true)
            ++failuresInRow >= FAILURES_TO_EJECT || failureShare >= FAILURE_SHARE_TO_EJECT
        }

        FleetOutcome.GONE -> true

        FleetOutcome.REFUSED, FleetOutcome.CANCELLED -> false
    }

    /** Starts a rest. */
    fun eject(nowMs: Long) {
        ejectedUntilMs = nowMs + (REST_MS shl ejections.coerceAtMost(MAX_DOUBLINGS))
        ejections++
        successesInRow = 0
        // One more failure after the rest ejects again.
        failuresInRow = FAILURES_TO_EJECT - 1
        failureShare = 0.0
    }

    private fun onSuccess() {
        count(isFailure = false)
        failuresInRow = 0
        if (++successesInRow >= SUCCESSES_TO_FORGET) ejections = 0
    }

    private fun count(isFailure: Boolean) {
        if (isFailure) successesInRow = 0
        failureShare += ((if (isFailure) 1.0 else 0.0) - failureShare) * GAIN
    }

    private companion object {
        const val FAILURES_TO_EJECT = 2

        /** Over twice the share of errors of sound targets on their worst kind of request. */
        const val FAILURE_SHARE_TO_EJECT = 0.35
        const val GAIN = 0.15
        const val REST_MS = 700L

        /** The longest rest is 16 times the first, about 11 s. */
        const val MAX_DOUBLINGS = 4
        const val SUCCESSES_TO_FORGET = 10
    }
}
