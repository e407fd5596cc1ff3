package org.bronzetide.scheduling.fleet

import java.util.BitSet
import kotlin.LazyThreadSafetyMode.NONE

/**
 * The suspects among the parts of [runs], which are in the order of their ends.
 *
 * Runs that ended on one target within [SAME_CRASH_MS] ms of each other ended in the same crash.
 * Crashes are numbered and suspects hold the numbers of theirs, so that building this takes time
 * in proportion to the parts of all runs, and parts of the same crashes are compared once.
 */
internal class CrashAnalysis(
    private val runs: List<CrashedRun>,
    private val servedAtMs: Map<PromptPart, Long>
) {
    private val crashNumbers = numberCrashes()

    /** One suspect for each part of the runs, in no particular order. */
    val suspects: List<CrashSuspect> = findSuspects()

    /** The suspects of each crash, counted by the crashes that they explain. */
    private val groupsByCrash: Map<Int, List<Map.Entry<BitSet, Group>>> by lazy(NONE) {
        val groups = HashMap<BitSet, Group>()
        suspects.forEach { suspect ->
            val group = groups.getOrPut(suspect.crashes) { Group() }
            if (suspect.isServed) group.servedCount++ else group.unservedCount++
        }
        val byCrash = HashMap<Int, MutableList<Map.Entry<BitSet, Group>>>()
        groups.entries.forEach { group ->
            group.key.stream().forEach { byCrash.getOrPut(it) { ArrayList() }.add(group) }
        }
        byCrash
    }
    private val totals = HashMap<BitSet, Group>()

    /** Whether another part, served or not like [suspect], explains its crashes as well. */
    fun isRivalled(suspect: CrashSuspect): Boolean {
        val all = explainingAllOf(suspect)
        return (if (suspect.isServed) all.servedCount else all.unservedCount) > 1
    }

    /** Whether a part that was never served explains the crashes of [suspect], which was. */
    fun isUnlikely(suspect: CrashSuspect): Boolean =
        suspect.isServed && explainingAllOf(suspect).unservedCount > 0

    /** Divides the runs into those that ended in a crash of [suspect], and the others. */
    fun partitionBy(suspect: CrashSuspect): Pair<List<CrashedRun>, List<CrashedRun>> {
        val (explained, others) = runs.indices.partition { suspect.crashes[crashNumbers[it]] }
        return explained.map(runs::get) to others.map(runs::get)
    }

    private fun numberCrashes(): IntArray {
        class Crash(val number: Int, var lastEndMs: Long)
        val lastByTarget = HashMap<String, Crash>()
        var count = 0
        return IntArray(runs.size) { index ->
            val run = runs[index]
            val last = lastByTarget[run.target]
                ?.takeIf { run.endedAtMs - it.lastEndMs < SAME_CRASH_MS }
            val crash = last ?: Crash(count++, 0).also { lastByTarget[run.target] = it }
            crash.lastEndMs = run.endedAtMs
            crash.number
        }
    }

    private fun findSuspects(): List<CrashSuspect> {
        class Involvement(val position: Int) {
            val crashed = ArrayList<CrashedRun>()
            val crashes = BitSet()
        }
        val involved = HashMap<PromptPart, Involvement>()
        runs.forEachIndexed { index, run ->
            run.parts.forEachIndexed { position, part ->
                val involvement = involved.getOrPut(part) { Involvement(position) }
                val isCleared = servedAtMs[part]?.let { run.endedAtMs <= it } ?: false
                if (!isCleared && involvement.crashed.lastOrNull() !== run) {
                    involvement.crashed += run
                    involvement.crashes.set(crashNumbers[index])
                }
            }
        }
        return involved.map { (part, it) ->
            CrashSuspect(part, it.position, part in servedAtMs, it.crashed, it.crashes)
        }
    }

    /** Counts the parts that explain each crash of [suspect], itself included. */
    private fun explainingAllOf(suspect: CrashSuspect): Group = totals.getOrPut(suspect.crashes) {
        val total = Group()
        groupsByCrash[suspect.crashes.nextSetBit(0)].orEmpty()
            .filter { (crashes, _) -> crashes.containsAll(suspect.crashes) }
            .forEach { (_, group) ->
                total.servedCount += group.servedCount
                total.unservedCount += group.unservedCount
            }
        total
    }

    private fun BitSet.containsAll(other: BitSet): Boolean {
        var bit = other.nextSetBit(0)
        while (bit >= 0) {
            if (!get(bit)) return false
            bit = other.nextSetBit(bit + 1)
        }
        return true
    }

    /** The number of parts of the same crashes. */
    private class Group {
        var servedCount = 0
        var unservedCount = 0
    }

    private companion object {
        /** For hosts that notice a crash late; a target takes longer to be back. */
        const val SAME_CRASH_MS = 1_000L
    }
}
