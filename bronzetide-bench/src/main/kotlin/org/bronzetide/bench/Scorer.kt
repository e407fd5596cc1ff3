package org.bronzetide.bench

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.HdrHistogram.Histogram
import org.bronzetide.model.JsonFormats
import org.bronzetide.standins.EngineStandIn
import org.bronzetide.standins.ObjectApiStandIn
import org.bronzetide.standins.ServiceStandIn

/** Computes a report from the outcomes of callers and the records of targets and the ledger. */
internal class Scorer(
    private val outcomes: List<Outcome>,
    private val engines: List<EngineStandIn>,
    private val services: List<ServiceStandIn>,
    private val store: ObjectApiStandIn,
    private val loadStartedNanos: Long
) {
    private val dispatchedIds = HashMap<String, Int>().apply {
        engines.forEach { engine ->
            engine.requestCounts.forEach { (id, n) -> merge(id, n, Int::plus) }
        }
        services.forEach { service ->
            service.requestCounts.forEach { (id, n) -> merge(id, n, Int::plus) }
        }
    }
    private val byId = outcomes.filter { it.requestId.isNotEmpty() }.associateBy { it.requestId }

    /** The report of the run; the figures of the control traffic are passed through. */
    fun report(controlBytesPerNodeSecond: Double, controlCpuFraction: Double): PolicyReport {
        val whole = outcomes.filter { it.isComplete && it.isModelWork }
        return PolicyReport(
            goodputByTier = goodput { it.arrival.tier.toString() },
            goodputByCaller = goodput { it.arrival.caller },
            wastedPrefillTokens = wastedPrefill(),
            prefillTokens = engines.sumOf { it.prefilledTokens },
            duplicateDispatches = duplicateDispatches(),
            falseNotRun = outcomes.count { it.isRefused && it.requestId in dispatchedIds },
            shedInversions = shedInversions(),
            incompleteAnswers = outcomes.count { it.isBrokenResponse },
            ledgerMismatches = ledgerMismatches(),
            firstTokenMs = percentiles(whole.map { it.firstByteMs }),
            betweenTokensMs = percentiles(whole.mapNotNull { it.betweenTokensMs }),
            controlBytesPerNodeSecond = controlBytesPerNodeSecond,
            controlCpuFraction = controlCpuFraction,
            firstTokenMsByKind = whole.groupBy { it.arrival.kind.name }
                .mapValues { (_, of) -> percentiles(of.map { it.firstByteMs }) },
            endsByReason = outcomes.groupingBy { "${it.verdict} ${it.status} ${it.reason}".trim() }
                .eachCount()
        )
    }

    private val Outcome.isModelWork: Boolean
        get() = arrival.kind.service == RequestKind.ServiceUse.NONE

    private val Outcome.isBrokenResponse: Boolean
        get() = status == 200 && (!isComplete || !isCorrect)

    private val Outcome.betweenTokensMs: Double?
        get() = if (arrival.outputTokens < MIN_OUTPUT_TOKENS) {
            null
        } else {
            (totalMs - firstByteMs) / (arrival.outputTokens - 1)
        }

    private fun goodput(key: (Outcome) -> String) = outcomes.groupBy(key).toSortedMap()
        .mapValues { (_, of) ->
            PolicyReport.Goodput(of.size, of.count { it.isInTime }, of.count { it.isRefused })
        }

    private fun wastedPrefill(): Long = engines.sumOf { engine ->
        engine.requestCounts.keys.sumOf { id ->
            val isCompleted = byId[id]?.isComplete == true
            if (isCompleted) 0L else engine.prefilledTokensOf(id).toLong()
        }
    }

    private fun duplicateDispatches(): Int {
        val commands = HashMap<String, Int>()
        services.forEach { service ->
            service.executionCounts.forEach { (b, n) -> commands.merge(b, n, Int::plus) }
        }
        return dispatchedIds.values.count { it > 1 } + commands.values.count { it > 1 }
    }

    /**
     * Counts requests refused for lack of capacity or time although a request of a lower-priority
     * tier was dispatched while they waited.
     */
    private fun shedInversions(): Int {
        val times = Array(TIER_COUNT + 1) { ArrayList<Double>() }
        engines.forEach { engine ->
            engine.receivedAtNanos.forEach { (id, nanos) ->
                byId[id]?.let { times[it.arrival.tier] += (nanos - loadStartedNanos) / 1e6 }
            }
        }
        times.forEach { it.sort() }
        return outcomes.count { outcome ->
            val isCapacity = outcome.reason == "shed" || outcome.reason == "deadline cannot be met"
            val window = outcome.sentAtMs + DISPATCH_SLACK_MS..outcome.sentAtMs + outcome.totalMs
            outcome.isModelWork &&
                outcome.isRefused &&
                isCapacity &&
                (outcome.arrival.tier + 1..TIER_COUNT).any { tier ->
                    times[tier].hasValueIn(window)
                }
        }
    }

    private fun List<Double>.hasValueIn(range: ClosedFloatingPointRange<Double>): Boolean {
        val index = binarySearch(range.start).let { if (it < 0) -it - 1 else it }
        return index < size && this[index] <= range.endInclusive
    }

    private fun ledgerMismatches(): Int {
        val lines = HashMap<String, Int>()
        val tokens = HashMap<String, Int>()
        val uncharged = HashSet<String>()
        store.keys(LEDGER_PREFIX).forEach { key ->
            val batch =
                JsonFormats.wire.parseToJsonElement(store.storedValue(key).orEmpty()).jsonObject
            batch.getValue("lines").jsonArray.forEach { line ->
                val fields = line.jsonObject
                val id = fields.getValue("requestId").jsonPrimitive.content
                if (isUncharged(fields)) uncharged += id
                lines.merge(id, 1, Int::plus)
                tokens[id] = fields.getValue("outputTokens").jsonPrimitive.content.toInt()
            }
        }
        val doubled = lines.values.count { it > 1 }
        val undispatched = lines.keys.count { it !in dispatchedIds && it !in uncharged }
        val unbilled = dispatchedIds.keys.count { it !in lines }
        val wrongTokens = outcomes.count {
            it.isComplete && it.isModelWork && tokens[it.requestId] != it.arrival.outputTokens
        }
        val counts = listOf(doubled, undispatched, unbilled, wrongTokens)
        if (counts.sum() > 0) {
            System.err.println("ledger: doubled, undispatched, unbilled, wrong tokens: $counts")
        }
        return counts.sum()
    }

    /** Whether the line charges nothing, as for a request that may not have reached its target. */
    private fun isUncharged(line: JsonObject): Boolean =
        line.getValue("verdict").jsonPrimitive.content == "MayHaveRun" &&
            listOf("promptTokens", "outputTokens").all {
                line.getValue(it).jsonPrimitive.content ==
                    "0"
            }

    private fun percentiles(valuesMs: List<Double>): PolicyReport.Percentiles {
        val histogram = Histogram(3)
        valuesMs.forEach { histogram.recordValue((it * VALUES_PER_MS).toLong().coerceAtLeast(0)) }
        fun at(percentile: Double) = histogram.getValueAtPercentile(percentile) / VALUES_PER_MS
        return PolicyReport.Percentiles(at(50.0), at(95.0), at(99.0))
    }

    private companion object {
        const val LEDGER_PREFIX = "bronzetide/ledger/"
        const val TIER_COUNT = 4
        const val MIN_OUTPUT_TOKENS = 20
        const val VALUES_PER_MS = 1_000.0
        const val DISPATCH_SLACK_MS = 30.0
    }
}
