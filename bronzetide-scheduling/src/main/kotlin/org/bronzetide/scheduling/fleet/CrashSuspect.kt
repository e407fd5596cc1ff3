package org.bronzetide.scheduling.fleet

import java.util.BitSet

/**
 * A part of a prompt that may explain crashes of targets: those of [crashed], its runs in the order
 * of their ends, but for crashes before a response to it last went on.
 */
internal class CrashSuspect(
    val part: PromptPart,
    /** Where the part is in the prompt: later parts are shared by fewer requests. */
    val position: Int,
    /** Whether any response to the part has gone on. */
    val isServed: Boolean,
    private val crashed: List<CrashedRun>,
    /** The numbers of the crashes that [crashed] ended in. */
    val crashes: BitSet
) {
    /** The number of crashes at different moments. */
    val crashCount: Int = crashed.inSequence { run, last ->
        run.endedAtMs - last.endedAtMs >= SAME_MOMENT_MS
    }.size

    /** Runs that each began after the one before it had crashed. */
    val proof: List<CrashedRun> = crashed.inSequence { run, last ->
        run.startedAtMs >= last.endedAtMs
    }

    private fun List<CrashedRun>.inSequence(
        follows: (CrashedRun, CrashedRun) -> Boolean
    ): List<CrashedRun> {
        val sequence = ArrayList<CrashedRun>()
        forEach { if (sequence.isEmpty() || follows(it, sequence.last())) sequence += it }
        return sequence
    }

    private companion object {
        /** Crashes at one moment have one cause. */
        const val SAME_MOMENT_MS = 50L
    }
}
