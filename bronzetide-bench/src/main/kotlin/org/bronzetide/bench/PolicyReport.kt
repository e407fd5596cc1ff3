package org.bronzetide.bench

import kotlinx.serialization.Serializable

/** What one policy did with an experiment's arrivals. */
@Serializable
internal data class PolicyReport(
    val goodputByTier: Map<String, Goodput>,
    val goodputByCaller: Map<String, Goodput>,
    val wastedPrefillTokens: Long,
    val prefillTokens: Long,
    val duplicateDispatches: Int,
    val falseNotRun: Int,
    val shedInversions: Int,
    val incompleteAnswers: Int,
    val ledgerMismatches: Int,
    val firstTokenMs: Percentiles,
    val betweenTokensMs: Percentiles,
    val controlBytesPerNodeSecond: Double,
    val controlCpuFraction: Double,
    /** First-token times by kind of request, beyond what the page of measures asks. */
    val firstTokenMsByKind: Map<String, Percentiles> = emptyMap(),
    /** Refusals and failures by reason. */
    val endsByReason: Map<String, Int> = emptyMap()
) {
    /** Requests offered, answered whole before their deadline, and refused. */
    @Serializable
    data class Goodput(val offered: Int, val inTime: Int, val shed: Int) {
        /** The share that was answered in time. */
        val share: Double get() = if (offered == 0) 1.0 else inTime.toDouble() / offered
    }

    /** Percentiles in real milliseconds. */
    @Serializable
    data class Percentiles(val p50: Double, val p95: Double, val p99: Double)
}

/** One target of the page of measures, and whether it was met. */
@Serializable
internal data class Bound(
    val name: String,
    val bound: Double,
    val figure: Double,
    val met: Boolean
) {
    companion object {
        /** A figure that must be at least [bound]. */
        fun atLeast(name: String, bound: Double, figure: Double) =
            Bound(name, bound, figure, figure >= bound)

        /** A figure that must be at most [bound]. */
        fun atMost(name: String, bound: Double, figure: Double) =
            Bound(name, bound, figure, figure <= bound)
    }
}

/** The result of an experiment. */
@Serializable
internal data class ExperimentReport(
    val name: String,
    val seed: Long,
    val nodeCount: Int,
    val targetCount: Int,
    val speedup: Double,
    val without: List<String>,
    val policies: Map<String, PolicyReport>,
    val violations: List<String>,
    val bounds: List<Bound>
)
