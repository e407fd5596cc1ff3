package org.bronzetide.scheduling.fleet

/**
 * Tracks the health of a target by the outcomes of its requests, not by its own health reports.
 *
 * Consecutive failures or a high failure rate eject the target. Each further ejection lasts longer,
 * and only a run of successes resets the duration, so that a flapping target returns slowly.
 */
internal class TargetHealth {
    /**
     * The time until which the target is ejected, in milliseconds. It is still used if all targets
     * of its service are ejected.
     */
    var ejectedUntilMs = 0L
        private set
    private var failureRate = 0.0
    private var consecutiveFailures = 0
    private var consecutiveSuccesses = 0
    private var ejections = 0

    /** Records [outcome] and returns whether the target should be ejected. */
    fun onOutcome(outcome: FleetOutcome): Boolean = when (outcome) {
        FleetOutcome.ANSWERED -> {
            onSuccess()
            false
        }

        // Some requests fail on every target, so consecutive errors do not show a faulty one.
        FleetOutcome.ERROR -> {
            count(isFailure = true)
            failureRate >= FAILURE_RATE_TO_EJECT
        }

        FleetOutcome.FAILED, FleetOutcome.UNREACHABLE -> {
            count(isFailure = true)
            ++consecutiveFailures >= FAILURES_TO_EJECT || failureRate >= FAILURE_RATE_TO_EJECT
        }

        FleetOutcome.GONE, FleetOutcome.CRASHED -> true

        FleetOutcome.REFUSED, FleetOutcome.CANCELLED, FleetOutcome.UNSENT -> false
    }

    /** Ejects the target from [nowMs] on. */
    fun eject(nowMs: Long) {
        ejectedUntilMs = nowMs + (FIRST_EJECTION_MS shl ejections.coerceAtMost(MAX_DOUBLINGS))
        ejections++
        consecutiveSuccesses = 0
        // A single failure after the ejection ejects the target again.
        consecutiveFailures = FAILURES_TO_EJECT - 1
        failureRate = 0.0
    }

    private fun onSuccess() {
        count(isFailure = false)
        consecutiveFailures = 0
        if (++consecutiveSuccesses >= SUCCESSES_TO_RESET) ejections = 0
    }

    private fun count(isFailure: Boolean) {
        if (isFailure) consecutiveSuccesses = 0
        failureRate += ((if (isFailure) 1.0 else 0.0) - failureRate) * GAIN
    }

    private companion object {
        const val FAILURES_TO_EJECT = 2

        /** More than twice the error rate of healthy targets on their worst kind of request. */
        const val FAILURE_RATE_TO_EJECT = 0.35
        const val GAIN = 0.15
        const val FIRST_EJECTION_MS = 700L

        /** The longest ejection is 16 times the first, about 11 s. */
        const val MAX_DOUBLINGS = 4
        const val SUCCESSES_TO_RESET = 10
    }
}
