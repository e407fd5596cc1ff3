package org.bronzetide.bench

/** What became of an arrival, as its caller saw it. Times are since the load began, in real ms. */
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
    /** Whether the whole answer came before the deadline. */
    val isInTime: Boolean get() = isComplete && isCorrect && totalMs <= arrival.deadlineMs

    /** Whether the request was truthfully or falsely refused. */
    val isRefused: Boolean get() = verdict == "NotRun"
}
