package org.bronzetide.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.long
import java.io.File
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.bronzetide.scheduling.Feature

/** The command `bench`, which runs one experiment and prints its report. */
internal class Bench : CliktCommand("bench") {
    private val experiment by argument("NAME", help = "an experiment").optional()
    private val seed by option("--seed", help = "the seed of the arrivals").long().default(1)
    private val isJson by option("--json", help = "print one JSON object").flag()
    private val isList by option("--list", help = "name the experiments").flag()
    private val isBronzetideOnly by option("--only-ours", help = "leave the baselines out").flag()
    private val disabledFeatures by option("--without", help = "switch a scheduling feature off")
        .choice(*Feature.entries.map { it.label }.toTypedArray())
        .multiple()

    override fun help(context: Context): String =
        "Runs an experiment on real nodes before stand-ins. Exit code 1: an invariant broke."

    override fun run() {
        if (isList) return listExperiments()
        when (experiment) {
            "overhead" -> return echo(
                encode(OverheadReport.serializer()) {
                    OverheadExperiment(seed).run()
                }
            )
            "node-crash" -> return runNodeCrash()
            "slopes" -> return echo(
                encode(SlopesReport.serializer()) {
                    SlopesExperiment(seed).run()
                }
            )
        }
        val chosen = experiments.find { it.name == experiment }
            ?: throw UsageError("no experiment is named $experiment; --list names them")
        val report = runBlocking { chosen.run(seed, disabledFeatures, isBronzetideOnly) }
        if (isJson) {
            echo(
                json.encodeToString(ExperimentReport.serializer(), report)
            )
        } else {
            printReport(report)
        }
        if (report.violations.isNotEmpty()) throw ProgramResult(1)
    }

    private fun runNodeCrash() {
        val control = System.getenv("BRONZETIDE_BENCH_CONTROL")
            ?: throw UsageError("node-crash starts processes: call it through bench/run")
        echo(
            encode(NodeCrashReport.serializer()) {
                NodeCrashExperiment(seed, File(control)).run()
            }
        )
    }

    private fun listExperiments() {
        experiments.forEach { echo("${it.name}  ${it.summary}") }
        echo("node-crash  a node killed, another paused, commands retried elsewhere")
        echo("overhead  what a node adds to a call of the engine")
        echo("slopes  what the capacity page is worked out from")
    }

    private fun <T> encode(serializer: KSerializer<T>, run: suspend () -> T): String =
        json.encodeToString(serializer, runBlocking { run() })

    private fun printReport(report: ExperimentReport) {
        echo(
            "${report.name}, seed ${report.seed}, ${report.nodeCount} nodes, " +
                "${report.targetCount} engines"
        )
        report.policies.forEach { (policy, result) ->
            echo(policy)
            result.goodputByTier.forEach { (tier, goodput) ->
                val percent = "%.2f".format(goodput.share * 100)
                echo(
                    "  tier $tier  $percent% in time of ${goodput.offered}, ${goodput.shed} refused"
                )
            }
            val waste = result.wastedPrefillTokens
            echo(
                "  wasted prefill $waste of ${result.prefillTokens}, " +
                    "first token p95 ${result.firstTokenMs.p95} ms"
            )
            echo("  ends ${result.endsByReason}")
        }
        report.violations.forEach { echo("VIOLATED: $it") }
        report.bounds.forEach { bound ->
            val mark = if (bound.met) "met   " else "MISSED"
            echo("$mark ${bound.name}: ${"%.4f".format(bound.figure)} against ${bound.bound}")
        }
    }

    private companion object {
        val experiments = LoadExperiments.all + FaultExperiments.all
        val json = Json { encodeDefaults = true }
    }
}

/** Entry point of `bench/run`. */
internal fun main(args: Array<String>) = Bench().main(args)
