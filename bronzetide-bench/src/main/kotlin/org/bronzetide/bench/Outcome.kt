package org.bronzetide.bench

/**
 * The outcome of an arrival as observed by its caller. [sentAtMs] is relative to the start of the
 * load, [firstByteMs] and [totalMs] to the sending of the request; all in real milliseconds.
 */
internal data class Outcome(
    val arrival: Arrival,
    val requestId: String,
    val status: Int,
    val verdict: String,
    val reason: String,
    val isComplete: Boolean,
    val isCorrect: Boolean,
    val sentAtMs: Double,
    val firstByteMs: Double,
    val totalMs: Double
) {
    /** Whether the complete and correct response arrived before the deadline. */
    val isInTime: Boolean get() = isComplete && isCorrect && totalMs <= arrival.deadlineMs

    /** Whether the response says, truly or falsely, that the request did not run. */
    val isRefused: Boolean get() = verdict == "NotRun"
}
