package org.bronzetide.scheduling.fleet

/** The id of a part of a prompt that several requests may share. */
@JvmInline
public value class PromptPart(public val id: String) {
    public companion object {
        /** The part with the [id] that a caller has stated, or with a hash if it is a long one. */
        public fun of(id: String): PromptPart = PromptPart(BoundedName.of(id))
    }
}

/**
 * A run of a request that was in progress when its target crashed, and whose response had not shown
 * by then that its prompt is sound. Times are in milliseconds on the clock of the host that uses
 * the evidence.
 */
public data class CrashedRun(
    /** A random number that tells this run from all others. */
    val id: Long,
    val target: String,
    /** The parts of the prompt that other requests may share, in the prompt's order. */
    val parts: List<PromptPart>,
    val startedAtMs: Long,
    val endedAtMs: Long
)

/** What hosts know about crashes of targets and share with each other. */
public data class CrashEvidence(
    val runs: List<CrashedRun>,
    /** When a response to a prompt with the part last began and went on, for parts of [runs]. */
    val servedAtMs: Map<PromptPart, Long>
)
