package org.bronzetide.scheduling.fleet

/**
 * Finds parts of prompts that crash every target that begins to respond to them, and blocks
 * requests with such a part.
 *
 * A crash ends all requests in progress on its target, so one crash says little about any of them.
 * A part is blocked when enough of its runs, each begun after the one before it had crashed, ended
 * so without a response to the part that went on. A part that was served before needs twice as
 * many. A crash that a blocked part explains counts against no other part, and a part is not
 * blocked, if it was served before, while one that never was explains all its crashes as well.
 * Targets that crash at the same moment count as one crash.
 *
 * The evidence of all hosts is combined. It expires, so that a part is tried again at some time.
 * Single-threaded, but for [blocked].
 */
public class PoisonPartDetector {
    private val runs = ArrayList<CrashedRun>()
    private val runsByPart = HashMap<PromptPart, MutableList<CrashedRun>>()
    private val servedAtMs = BoundedMap<PromptPart, Long>(MAX_SERVED_PARTS)

    /** The ids of runs that were recorded, so that none is recorded again after it was dropped. */
    private val recordedIds = BoundedMap<Long, Unit>(MAX_RECORDED_IDS)

    /** The blocked parts, each with the time until which it is blocked, in milliseconds. */
    @Volatile
    public var blocked: Map<PromptPart, Long> = emptyMap()
        private set

    /** Whether evidence has come in or expired that no [update] has judged yet. */
    private var hasNewEvidence = false

    private var updatedAtMs: Long? = null

    /** When evidence next becomes complete or expires, in milliseconds. */
    private var nextChangeAtMs = Long.MAX_VALUE

    /** Increases with each piece of evidence from this host that others do not have. */
    public var revision: Long = 0
        private set

    /**
     * How long after a crash its evidence is complete, as the evidence of all hosts must arrive and
     * then what they know of its parts, in milliseconds.
     */
    public var settlingMs: Long = 0
        set(value) {
            if (value != field) hasNewEvidence = true
            field = value
        }

    /** Returns a blocked part among [parts], or `null` if there is none. */
    public fun findBlocked(parts: List<PromptPart>): PromptPart? =
        if (blocked.isEmpty()) null else parts.firstOrNull { it in blocked }

    /** Records that the target of [run] crashed during it. */
    public fun onCrash(run: CrashedRun) {
        if (!record(run)) return
        revision++
        updateUnlessRecent(run.endedAtMs)
    }

    /**
     * Records that a response to a prompt with [parts] began at [beganAtMs] and went on. It counts
     * from the next [update] on.
     */
    public fun onServed(parts: List<PromptPart>, beganAtMs: Long) {
        if (parts.count { recordServed(it, beganAtMs) } > 0) revision++
    }

    /**
     * The evidence to share with other hosts: the runs with a part that [minCrashes] crashes or
     * more speak against, those with most crashes first, and at most [MAX_SHARED_RUNS]. Of the
     * runs whose parts alone exceed a message's share, the first one is included.
     */
    public fun evidence(minCrashes: Int = 1): CrashEvidence {
        val crashCounts = crashCounts()
        var chars = 0
        var hasLongRun = false
        val shared = runs.filter { crashCounts.of(it) >= minCrashes }
            .sortedByDescending { crashCounts.of(it) }.take(MAX_SHARED_RUNS)
            .filter { run ->
                // A prompt of many parts must not keep the evidence of others from being shared.
                val added = run.parts.sumOf { it.id.length }
                when {
                    added > MAX_SHARED_CHARS -> !hasLongRun.also { hasLongRun = true }
                    chars + added > MAX_SHARED_CHARS -> false
                    else -> true.also { chars += added }
                }
            }
        val served = LinkedHashMap<PromptPart, Long>()
        for (run in shared) for (part in run.parts) servedAtMs[part]?.let { served[part] = it }
        return CrashEvidence(shared, served)
    }

    /** Adds the evidence of another host and returns whether any of it was new. */
    public fun merge(other: CrashEvidence, nowMs: Long): Boolean {
        val added = other.runs.filter { nowMs - it.endedAtMs < BLOCK_MS && record(it) }
        val isServedElsewhere = other.servedAtMs.count { (part, at) -> recordServed(part, at) } > 0
        val knowsMore = added.any { run ->
            run.parts.any { (servedAtMs[it] ?: NEVER) > (other.servedAtMs[it] ?: NEVER) }
        }
        if (knowsMore) revision++
        if (added.isEmpty() && !isServedElsewhere) return false
        updateUnlessRecent(nowMs)
        return true
    }

    /**
     * Drops evidence that is too old at [nowMs], and judges that which is complete by now. Takes no
     * time while there is nothing new to judge.
     */
    public fun update(nowMs: Long) {
        if (!hasNewEvidence && nowMs < nextChangeAtMs) return
        hasNewEvidence = false
        updatedAtMs = nowMs
        runs.sortBy { it.endedAtMs }
        removeRuns(runs.filter { isObsolete(it, nowMs) })
        if (runs.size > MAX_RUNS) dropLeastSuspicious()
        judge(runs.filter { nowMs - it.endedAtMs >= settlingMs })
        nextChangeAtMs = runs.minOfOrNull { nextChangeOf(it, nowMs) } ?: Long.MAX_VALUE
    }

    /** In a burst of crashes, judges their evidence together and not run by run. */
    private fun updateUnlessRecent(nowMs: Long) {
        val lastMs = updatedAtMs
        if (lastMs == null || nowMs - lastMs >= MIN_UPDATE_INTERVAL_MS) update(nowMs)
    }

    private fun judge(judged: List<CrashedRun>) {
        val before = blocked
        blocked = findPoisonParts(judged).associate { (poison, explained) ->
            keepProofOnly(poison, explained)
            poison.part to poison.proof.last().endedAtMs + BLOCK_MS
        }
        // A blocked part needs fewer crashes than before it was blocked.
        if (blocked.keys != before.keys) hasNewEvidence = true
    }

    /** When [run] is next due: to be judged, or dropped. */
    private fun nextChangeOf(run: CrashedRun, nowMs: Long): Long {
        val judgedAtMs = run.endedAtMs + settlingMs
        return if (judgedAtMs > nowMs) judgedAtMs else run.endedAtMs + retentionMs(run)
    }

    private fun retentionMs(run: CrashedRun): Long =
        if (findBlocked(run.parts) == null) SUSPICION_MS else BLOCK_MS

    /** Adds [run] unless it was added before; returns whether it is new. */
    private fun record(run: CrashedRun): Boolean {
        if (run.parts.isEmpty() || recordedIds.put(run.id, Unit) != null) return false
        runs += run
        run.parts.forEach { runsByPart.getOrPut(it) { ArrayList() } += run }
        hasNewEvidence = true
        return true
    }

    private fun removeRuns(removed: Collection<CrashedRun>) {
        if (removed.isEmpty()) return
        val removedIds = removed.mapTo(HashSet()) { it.id }
        runs.removeAll { it.id in removedIds }
        removed.flatMapTo(HashSet()) { it.parts }.forEach { part ->
            runsByPart.computeIfPresent(part) { _, left ->
                left.apply { removeAll { it.id in removedIds } }.ifEmpty { null }
            }
        }
    }

    /** Returns whether the response clears [part] of a crash that it was not cleared of. */
    private fun recordServed(part: PromptPart, beganAtMs: Long): Boolean {
        val lastServedAtMs = servedAtMs[part] ?: NEVER
        if (beganAtMs <= lastServedAtMs) return false
        servedAtMs[part] = beganAtMs
        val involved = runsByPart[part] ?: return false
        val clears = involved.any { it.endedAtMs > lastServedAtMs && it.endedAtMs <= beganAtMs }
        if (clears || lastServedAtMs == NEVER) hasNewEvidence = true
        return clears
    }

    private fun isObsolete(run: CrashedRun, nowMs: Long): Boolean {
        val ageMs = nowMs - run.endedAtMs
        if (findBlocked(run.parts) != null) return ageMs >= BLOCK_MS
        return ageMs >= SUSPICION_MS || run.parts.all { (servedAtMs[it] ?: NEVER) >= run.endedAtMs }
    }

    /** Drops surplus runs; they may be recorded again when other crashes make them suspicious. */
    private fun dropLeastSuspicious() {
        val crashCounts = crashCounts()
        val dropped = runs.sortedBy { crashCounts.of(it) }.take(runs.size - MAX_RUNS)
        removeRuns(dropped)
        dropped.forEach { recordedIds.remove(it.id) }
    }

    private fun crashCounts(): Map<PromptPart, Int> =
        CrashAnalysis(runs, servedAtMs).suspects.associate { it.part to it.crashCount }

    private fun Map<PromptPart, Int>.of(run: CrashedRun): Int = run.parts.maxOf { this[it] ?: 0 }

    /** Returns the poison parts, each with the crashed runs that it explains. */
    private fun findPoisonParts(
        judged: List<CrashedRun>
    ): List<Pair<CrashSuspect, List<CrashedRun>>> {
        val found = ArrayList<Pair<CrashSuspect, List<CrashedRun>>>()
        var unexplained = judged
        while (true) {
            val analysis = CrashAnalysis(unexplained, servedAtMs)
            val next = analysis.suspects.filter { it.proof.size >= MIN_CRASHES }
                .sortedWith(likeliestFirst).firstOrNull { isPoison(it, analysis) } ?: return found
            val (explained, others) = analysis.partitionBy(next)
            found += next to explained
            unexplained = others
        }
    }

    private fun isPoison(suspect: CrashSuspect, analysis: CrashAnalysis): Boolean {
        val minCrashes = when {
            suspect.part in blocked -> MIN_CRASHES
            suspect.isServed -> MIN_CRASHES_IF_SERVED
            analysis.isRivalled(suspect) -> MIN_CRASHES_IF_RIVALLED
            else -> MIN_CRASHES
        }
        return suspect.proof.size >= minCrashes && !analysis.isUnlikely(suspect)
    }

    /** Drops the runs that [poison] explains, but for those that prove it to other hosts. */
    private fun keepProofOnly(poison: CrashSuspect, explained: List<CrashedRun>) {
        val proof = poison.proof.takeLast(MIN_CRASHES_IF_SERVED).toSet()
        removeRuns(explained.filter { it !in proof })
    }

    private class BoundedMap<K, V>(private val maxSize: Int) : LinkedHashMap<K, V>() {
        override fun removeEldestEntry(eldest: Map.Entry<K, V>): Boolean = size > maxSize
    }

    private companion object {
        /** A part is involved in two crashes by chance when a sound request is repeated. */
        const val MIN_CRASHES = 3

        /** The same if another part, also never served, explains the crashes as well. */
        const val MIN_CRASHES_IF_RIVALLED = 5

        /** The same for a part that was served before, and so is more likely to be sound. */
        const val MIN_CRASHES_IF_SERVED = 6

        /** Crashes that are further apart do not suggest a common cause. */
        const val SUSPICION_MS = 30_000L

        /** Each further try may crash [MIN_CRASHES] targets or more. */
        const val BLOCK_MS = 600_000L

        /** Well below the time that evidence takes to arrive. */
        const val MIN_UPDATE_INTERVAL_MS = 20L

        /** The crashes of a second in a large fleet, with the runs on each target. */
        const val MAX_RUNS = 128

        /** About 2.5 KB in a message to each host, as prompts have a few shared parts. */
        const val MAX_SHARED_RUNS = 32

        /** Bounds the share of a message that long prompts take, but for one longer than this. */
        const val MAX_SHARED_CHARS = 12_000
        const val MAX_RECORDED_IDS = 1_000

        /** About 0.5 MB; prompts have a few shared parts, most of them in many requests. */
        const val MAX_SERVED_PARTS = 4_000
        const val NEVER = Long.MIN_VALUE

        /** Parts that were never served come first, then those with most crashes. */
        val likeliestFirst = compareBy<CrashSuspect> { it.isServed }
            .thenByDescending { it.crashCount }
            .thenByDescending { it.position }
    }
}
