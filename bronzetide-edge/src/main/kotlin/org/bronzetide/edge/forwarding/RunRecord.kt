package org.bronzetide.edge.forwarding

/**
 * The runs of one request at targets, which tell whether it may have run. It stays true whatever is
 * thrown while a run is in progress: a run counts as possible from before its send until it is
 * known that its target did not run the request.
 */
internal class RunRecord {
    private var inProgressCount = 0

    /** The runs that have ended and that a target may have made. */
    var possibleCount = 0
        private set

    /** Whether it is certain that no target has run the request, or runs it. */
    val hasNotRun: Boolean get() = possibleCount == 0 && inProgressCount == 0

    /** A run at one target. */
    inner class Run {
        private var isInProgress = false

        /** Records that the request is about to be sent to the target. */
        fun onSend() {
            isInProgress = true
            inProgressCount++
        }

        /**
         * Records that the run has ended, and whether the target may have made it. A run that was
         * not sent does not count.
         */
        fun onEnd(mayHaveRun: Boolean) {
            if (!isInProgress) return
            isInProgress = false
            inProgressCount--
            if (mayHaveRun) possibleCount++
        }
    }
}
