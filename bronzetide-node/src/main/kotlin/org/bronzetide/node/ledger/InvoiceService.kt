package org.bronzetide.node.ledger

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.Serializable
import org.bronzetide.coordination.NodeId
import org.bronzetide.model.CallerId
import org.bronzetide.model.JsonFormats
import org.bronzetide.model.LedgerLine
import org.bronzetide.platform.ListResult
import org.bronzetide.platform.ObjectStore
import org.bronzetide.platform.ReadResult

/** The ledger lines of a caller, their totals, and the sources of lines that may be missing. */
@Serializable
data class Invoice(
    val caller: CallerId,
    val lines: List<LedgerLine>,
    val totals: Totals,
    /** Processes that stopped without closing their ledger; their last lines may be missing. */
    val unclosedNodes: List<NodeId>,
    /** The number of batches that could not be read; their lines are missing. */
    val unreadBatches: Int
) {
    /** Totals of the lines of an invoice. */
    @Serializable
    data class Totals(val requests: Int, val promptTokens: Long, val outputTokens: Long)
}

/** Creates invoices from the ledger in the object store. */
internal class InvoiceService(
    private val store: ObjectStore,
    private val isLive: (NodeId) -> Boolean
) {
    /** Returns the invoice of [caller], or `null` if the store is unavailable. */
    suspend fun invoiceFor(caller: CallerId): Invoice? {
        val keys = when (val listed = store.list(LEDGER_PREFIX)) {
            is ListResult.Keys -> listed.keys
            is ListResult.Unavailable -> return null
        }
        val batches = keys.chunked(CONCURRENT_READS).flatMap { readAll(it) }
        val found = batches.filterNotNull()
        val lines = found.flatMap { it.lines }.filter { it.caller == caller }
            .sortedBy { it.dispatchedAtMs }
        return Invoice(
            caller,
            lines,
            totals(lines),
            unclosedNodes(found),
            batches.count { it == null }
        )
    }

    private suspend fun readAll(keys: List<String>): List<LedgerBatch?> = coroutineScope {
        keys.map { async { read(it) } }.awaitAll()
    }

    private suspend fun read(key: String): LedgerBatch? {
        repeat(READ_ATTEMPTS) {
            val result = store.read(key)
            if (result is ReadResult.Found) {
                return JsonFormats.wire.decodeFromString(
                    LedgerBatch.serializer(),
                    result.stored.value
                )
            }
        }
        return null
    }

    private fun unclosedNodes(batches: List<LedgerBatch>): List<NodeId> = batches
        .groupBy { it.node }
        .filter { (node, own) -> own.none { it.isLast } && !isLive(node) }
        .keys.sorted()

    private fun totals(lines: List<LedgerLine>) = Invoice.Totals(
        requests = lines.size,
        promptTokens = lines.sumOf { it.promptTokens.toLong() },
        outputTokens = lines.sumOf { it.outputTokens.toLong() }
    )

    private companion object {
        const val CONCURRENT_READS = 16
        const val READ_ATTEMPTS = 3
    }
}
