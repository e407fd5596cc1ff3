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

    /** Records that the request is about to be sent to a target. */
    fun onBegin() {
        inProgressCount++
    }

    /** Records that a run has ended, and whether the target may have made it. */
    fun onEnd(mayHaveRun: Boolean) {
        if (mayHaveRun) possibleCount++
        inProgressCount--
    }
}
