package org.bronzetide.node.ledger

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.Serializable
import org.bronzetide.coordination.Backoff
import org.bronzetide.coordination.NodeId
import org.bronzetide.model.JsonFormats
import org.bronzetide.model.LedgerLine
import org.bronzetide.platform.ObjectStore
import org.bronzetide.platform.WriteResult

/** The prefix of the keys of ledger batches in the object store. */
internal const val LEDGER_PREFIX = "bronzetide/ledger/"

/** A batch of ledger lines of one process, in the order in which their requests ended. */
@Serializable
internal data class LedgerBatch(
    val node: NodeId,
    val sequence: Int,
    val lines: List<LedgerLine>,
    /** Whether the process closed its ledger with this batch, so that no later lines exist. */
    val isLast: Boolean = false
)

/**
 * Writes ledger lines to the object store in batches.
 *
 * Each batch is an object, named by the node's process and a sequence number and created only if
 * absent, so that a retry after a lost response cannot duplicate lines. While the store is
 * unavailable, lines are buffered in memory; at [maxBuffered] lines the node refuses requests.
 */
internal class LedgerWriter(
    private val self: NodeId,
    private val store: ObjectStore,
    private val flushMs: Long,
    private val maxBuffered: Int
) {
    private val pendingLines = ConcurrentLinkedQueue<LedgerLine>()
    private val pendingCount = AtomicInteger()
    private val flushMutex = Mutex()
    private val backoff = Backoff(FIRST_RETRY_MS, MAX_RETRY_MS)
    private var sequence = 0
    private var unwrittenBatch: LedgerBatch? = null

    /** The number of lines that are not written to the store yet. */
    val bufferedCount: Int get() = pendingCount.get()

    /** Whether the buffer is full, so that the node must not accept billable requests. */
    val isFull: Boolean get() = bufferedCount >= maxBuffered

    /** Buffers [line] for the next write. */
    fun add(line: LedgerLine) {
        pendingLines += line
        pendingCount.incrementAndGet()
    }

    /** Starts to write the buffered lines every [flushMs] milliseconds. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                delay(flushMs)
                if (!flush()) delay(backoff.nextDelayMs())
            }
        }
    }

    /** Writes the buffered lines and returns whether all of them are stored. */
    suspend fun flush(): Boolean = flushMutex.withLock {
        while (true) {
            val batch = unwrittenBatch ?: nextBatch() ?: break
            unwrittenBatch = batch
            if (!write(batch)) return false
            unwrittenBatch = null
            pendingCount.addAndGet(-batch.lines.size)
        }
        backoff.reset()
        true
    }

    /**
     * Writes the buffered lines and, if the process wrote any, a last batch that closes its ledger.
     *
     * Retries until [maxFailures] attempts have failed. Returns whether the ledger is closed.
     */
    suspend fun close(maxFailures: Int = MAX_CLOSE_FAILURES): Boolean {
        repeat(maxFailures) {
            val isClosed = flush() && writeLast()
            if (isClosed) return true
            delay(backoff.nextDelayMs())
        }
        return false
    }

    private suspend fun writeLast(): Boolean = flushMutex.withLock {
        sequence == 0 || write(LedgerBatch(self, sequence, emptyList(), isLast = true))
    }

    private fun nextBatch(): LedgerBatch? {
        val lines = generateSequence { pendingLines.poll() }.take(MAX_BATCH_LINES).toList()
        return if (lines.isEmpty()) null else LedgerBatch(self, sequence++, lines)
    }

    private suspend fun write(batch: LedgerBatch): Boolean {
        val key = LEDGER_PREFIX + "${batch.node}/${batch.sequence.toString().padStart(8, '0')}"
        val text = JsonFormats.wire.encodeToString(LedgerBatch.serializer(), batch)
        return when (store.write(key, text, expectedVersion = 0)) {
            is WriteResult.Written, is WriteResult.Conflict -> true
            is WriteResult.Refused, is WriteResult.Unknown -> false
        }
    }

    private companion object {
        const val MAX_BATCH_LINES = 1_500
        const val FIRST_RETRY_MS = 200L
        const val MAX_RETRY_MS = 3_000L
        const val MAX_CLOSE_FAILURES = 20
    }
}
