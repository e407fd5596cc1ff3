package org.bronzetide.bench

import kotlinx.serialization.Serializable

/** The results of running the arrivals of an experiment under one policy. */
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
    /** Times to the first token by request kind, in real ms. */
    val firstTokenMsByKind: Map<String, Percentiles> = emptyMap(),
    /** Requests by verdict, status and reason. */
    val endsByReason: Map<String, Int> = emptyMap()
) {
    /** The numbers of requests sent, completed correctly before their deadline, and refused. */
    @Serializable
    data class Goodput(val offered: Int, val inTime: Int, val shed: Int) {
        /** The share of the requests that completed in time; 1 if there were none. */
        val share: Double get() = if (offered == 0) 1.0 else inTime.toDouble() / offered
    }

    /** Percentiles in real milliseconds. */
    @Serializable
    data class Percentiles(val p50: Double, val p95: Double, val p99: Double)
}

/** An acceptance bound of an experiment, the measured figure and whether it meets the bound. */
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

/** The report of an experiment, which `--json` prints. */
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
