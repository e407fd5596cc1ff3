package org.bronzetide.cli

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option
import java.time.Instant
import org.bronzetide.model.LedgerLine
import org.bronzetide.node.ledger.Invoice

/** `bronzetide invoice`: shows a caller's invoice, or explains one line of it. */
class InvoiceCommand : OperatorCommand("invoice") {
    private val caller by argument("CALLER", help = "the caller's name")
    private val lineId by option("--line", help = "explain the line of this request id")

    override fun help(context: Context): String =
        "Shows the lines and totals of a caller's bill; with --line what stands behind one of them."

    override suspend fun execute(client: OperatorClient) {
        val invoice = client.invoice(caller)
        val requestedLineId = lineId
        if (requestedLineId != null) return explain(invoice, requestedLineId)
        if (isJson) return echoJson(Invoice.serializer(), invoice)
        invoice.lines.forEach { echo(summary(it)) }
        val totals = invoice.totals
        echo(
            "${totals.requests} requests, ${totals.promptTokens} prompt and " +
                "${totals.outputTokens} output tokens"
        )
        warnOfMissingLines(invoice)
    }

    private fun explain(invoice: Invoice, id: String) {
        val line = invoice.lines.find { it.requestId.value == id }
        if (line == null) {
            echo(
                "$caller has no line for $id: it was not dispatched, or is not written yet",
                err = true
            )
            warnOfMissingLines(invoice)
            throw ProgramResult(ExitCodes.INVALID)
        }
        if (isJson) return echoJson(LedgerLine.serializer(), line)
        echo(summary(line))
        echo("  dispatched to ${line.target} of pool ${line.pool} in tier ${line.tier}, once")
        echo("  the target's own record is under the request id ${line.requestId}")
        if (line.traceId.isNotEmpty()) echo("  trace ${line.traceId}")
    }

    private fun summary(line: LedgerLine) =
        "${Instant.ofEpochMilli(line.dispatchedAtMs)}  ${line.requestId}  ${line.operation}  " +
            "${line.promptTokens}+${line.outputTokens} tokens  " +
            "${line.durationMs} ms  ${line.verdict}"

    private fun warnOfMissingLines(invoice: Invoice) {
        invoice.unclosedNodes.forEach {
            echo(
                "node $it ended without closing its ledger; its last lines may be missing",
                err = true
            )
        }
        if (invoice.unreadBatches > 0) {
            echo("${invoice.unreadBatches} batches could not be read", err = true)
        }
    }
}
