package org.bronzetide.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.Serializable
import org.bronzetide.model.JsonFormats
import org.bronzetide.node.entry.KeyDigest
import org.bronzetide.platform.PlatformClients
import org.bronzetide.standins.EngineProfile

/** `bronzetide dev`: sends sample requests through a node and stand-ins in this process. */
class DevCommand : CliktCommand("dev") {
    private val isJson by option("--json", help = "print one JSON object").flag()

    override fun help(context: Context): String =
        "Starts a node with stand-ins in this process, sends real requests through it, shows " +
            "their answers, verdicts and ledger lines, and ends."

    override fun run() {
        val report = runBlocking { DevRun { if (!isJson) echo(it) }.run() }
        if (isJson) echo(JsonFormats.wire.encodeToString(DevReport.serializer(), report))
        if (!report.ok) throw ProgramResult(ExitCodes.UNAVAILABLE)
        if (!isJson) echo("all as expected")
    }
}

/** The results of `bronzetide dev`. */
@Serializable
data class DevReport(
    val requests: Int,
    /** The number of requests by verdict. */
    val verdicts: Map<String, Int>,
    val ledgerLines: Int,
    val dispatches: Int,
    val commandRuns: Int,
    val streamedAnswer: String,
    val ok: Boolean
)

/** Starts a small cluster, sends the sample requests, and compares the results. */
private class DevRun(private val echo: (String) -> Unit) {
    private val responses = ArrayList<CallerResponse>()

    suspend fun run(): DevReport {
        DevCluster(
            List(ENGINE_COUNT) { EngineProfile(stepMs = 5.0) },
            serviceCount = 1,
            nodeCount = 1
        ).use { cluster ->
            PlatformClients.create().use { http ->
                cluster.start()
                confirm(OperatorClient(http, cluster.url(0), DevCluster.OPERATOR_KEY))
                return sendSampleRequests(
                    cluster,
                    CallerClient(http),
                    OperatorClient(http, cluster.url(0), DevCluster.OPERATOR_KEY)
                )
            }
        }
    }

    private suspend fun confirm(operator: OperatorClient) {
        echo("an operator states an intent and sees its plan:")
        val plan = requireNotNull(operator.plan(DEV_INTENT).plan) { "the intent was refused" }
        plan.changes.forEach { echo("  ${it.action} ${it.name}") }
        echo("confirmed as version ${operator.confirm(plan).version}")
    }

    private suspend fun sendSampleRequests(
        cluster: DevCluster,
        caller: CallerClient,
        operator: OperatorClient
    ): DevReport {
        val url = cluster.url(0)
        val streamed =
            record(
                "streamed review",
                caller.complete(url, DESK_KEY, MODEL, "Review this feature. [out=24]")
            )
        val unstreamed = CallerClient.Options(isStreamed = false)
        record(
            "short verdict",
            caller.complete(url, DESK_KEY, MODEL, "Is this headline fine? [out=6]", unstreamed)
        )
        val withShortDeadline = CallerClient.Options(deadlineMs = 1)
        val refused =
            record(
                "late request",
                caller.complete(url, DESK_KEY, MODEL, "A late one [out=200]", withShortDeadline)
            )
        val command = CallerClient.Options(idempotencyKey = "ruling-1")
        val rulings = "$url/v1/services/${DevCluster.SERVICE_POOL}/rulings"
        record("ruling", caller.command(rulings, DESK_KEY, RULING, command))
        val retried =
            record("the same ruling, retried", caller.command(rulings, DESK_KEY, RULING, command))
        return report(cluster, operator, streamed, refused, retried)
    }

    private suspend fun report(
        cluster: DevCluster,
        operator: OperatorClient,
        streamed: CallerResponse,
        refused: CallerResponse,
        retried: CallerResponse
    ): DevReport {
        val dispatches =
            cluster.engines.sumOf { it.requestCounts.size } +
                cluster.services.sumOf { it.requestCounts.size }
        val lines = awaitLines(operator, dispatches)
        val commandRuns = cluster.services.sumOf { it.executionCounts[RULING] ?: 0 }
        val refusedRuns = cluster.engines.count { it.requestCounts.containsKey(refused.requestId) }
        val isExpected = streamed.isComplete &&
            refused.verdict == "NotRun" &&
            refusedRuns == 0 &&
            retried.isReplayed &&
            commandRuns == 1 &&
            lines == dispatches
        return DevReport(
            requests = responses.size,
            verdicts = responses.groupingBy { it.verdict }.eachCount(),
            ledgerLines = lines,
            dispatches = dispatches,
            commandRuns = commandRuns,
            streamedAnswer = streamed.text,
            ok = isExpected
        )
    }

    private suspend fun awaitLines(operator: OperatorClient, expected: Int): Int {
        echo("waiting for the ledger")
        var lines = 0
        repeat(LEDGER_POLL_LIMIT) {
            val invoice = operator.invoice(DESK)
            lines = invoice.lines.size
            if (lines >= expected) {
                invoice.lines.forEach {
                    echo(
                        "  ${it.requestId} ${it.operation} ${it.outputTokens} tokens ${it.verdict}"
                    )
                }
                return lines
            }
            delay(LEDGER_POLL_INTERVAL_MS)
        }
        return lines
    }

    private fun record(title: String, response: CallerResponse): CallerResponse {
        responses += response
        val replayed = if (response.isReplayed) " (replayed)" else ""
        echo(
            "$title: ${response.status} ${response.verdict}$replayed ${response.reason} ${
                response.text.take(MAX_SHOWN_CHARS)
            }"
        )
        return response
    }

    private companion object {
        const val ENGINE_COUNT = 2
        const val DESK = "news-desk"
        const val DESK_KEY = "key-of-the-news-desk"
        const val MODEL = "style-1"
        const val RULING = """{"ruling":"no comma before and"}"""
        const val LEDGER_POLL_LIMIT = 50
        const val LEDGER_POLL_INTERVAL_MS = 200L
        const val MAX_SHOWN_CHARS = 70
        val DEV_INTENT = """
            {
              // A caller, a pool of engines, and a service whose rulings run only once.
              "tiers": {"urgent": {"level": 1, "deadlineMs": 10000}},
              "callers": {"$DESK": {"keySha256": "${KeyDigest.of(DESK_KEY)}", "tier": 2}},
              "pools": {
                "${DevCluster.MODEL_POOL}": {"kind": "model", "models": ["$MODEL"]},
                "${DevCluster.SERVICE_POOL}": {
                  "kind": "service",
                  "operations": [
                    {"name": "publish-ruling", "method": "POST", "path": "/rulings"},
                    {"name": "look-up", "method": "GET", "path": "/entries/*", "repeatable": true}
                  ]
                }
              }
            }
        """.trimIndent()
    }
}
