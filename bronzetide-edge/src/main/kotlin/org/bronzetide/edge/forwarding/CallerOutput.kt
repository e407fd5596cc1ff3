package org.bronzetide.edge.forwarding

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.edge.memory.OutputBuffer
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.CallerConnectionException
import org.bronzetide.http.Header

/**
 * Writes one response to a caller without letting a slow one hold up its target.
 *
 * A chunk is written directly while the socket takes it. Once it does not, chunks are held in
 * [buffer], and a coroutine writes them in order until none is left. At the limit of the
 * connection, the target is not read for up to [MAX_PAUSE_MS]; a caller that has not made room by
 * then is cut.
 */
internal class CallerOutput(
    private val caller: CallerConnection,
    private val buffer: OutputBuffer,
    private val account: String?,
    private val onCut: (OutputBuffer.Cut) -> Unit
) {
    private var scope: CoroutineScope? = null
    private var held: Held? = null
    private var cut: OutputBuffer.Cut? = null
    private var droppedBytes = 0L

    /** The most bytes that were held at a time. */
    var mostHeldBytes = 0L
        private set

    /** Why chunks were dropped, so that the response must not be ended, or `null` if none was. */
    val failure: String?
        get() = cut?.let { "caller reads too slowly, limit ${it.limit.name.lowercase()}" }
            ?: "caller reads too slowly, $droppedBytes bytes left".takeIf { droppedBytes > 0 }

    /**
     * Runs [block], which may call [write], and waits until the caller has taken all that it wrote.
     * Returns early if the caller is cut. If it is cancelled, what is held is dropped.
     *
     * @throws CallerConnectionException if the connection to the caller breaks.
     */
    suspend fun run(block: suspend () -> Unit) {
        try {
            coroutineScope {
                scope = this
                block()
            }
        } catch (_: CutException) {
            // The reason is kept in [cut].
        } finally {
            scope = null
            held?.connection?.let {
                droppedBytes = it.heldBytes
                it.close()
            }
            held = null
        }
    }

    /** Begins the response; its head is sent with the first chunk. */
    suspend fun begin(status: Int, headers: List<Header>) = caller.beginResponse(status, headers)

    /**
     * Writes [chunk], or holds it for the caller. To be called within [run].
     *
     * @throws CallerConnectionException if the connection to the caller breaks.
     */
    suspend fun write(chunk: ByteArray) {
        held?.awaitRoom(chunk)
        // The caller may have taken everything meanwhile.
        val held = held
        if (held != null) return held.add(chunk)
        if (!caller.trySendChunk(chunk)) startHolding()
    }

    /**
     * Runs [block], which writes the end of the response, for up to [maxWaitMs] milliseconds, or
     * [MIN_END_MS] if that is longer.
     *
     * @throws CallerConnectionException if the caller has not taken it by then, or its connection
     * breaks.
     */
    suspend fun end(maxWaitMs: Long, block: suspend CallerConnection.() -> Unit) {
        withTimeoutOrNull(maxOf(maxWaitMs, MIN_END_MS)) { caller.block() }
            ?: throw CallerConnectionException("caller reads too slowly")
    }

    private fun startHolding() {
        val scope = checkNotNull(scope) { "not running" }
        held = Held(scope).also { it.start() }
    }

    /** What is held while the caller reads too slowly, and the coroutine that writes it. */
    private inner class Held(private val scope: CoroutineScope) {
        val connection: OutputBuffer.Connection = buffer.open(account, ::onCut)
        private val progress = Channel<Unit>(Channel.CONFLATED)

        fun start() {
            connection.holdInSocket(caller.pendingOutputBytes)
            onHeld()
            scope.launch { writeAll() }
        }

        fun add(chunk: ByteArray) {
            connection.add(chunk)
            onHeld()
        }

        /** Waits for room for [chunk], and cuts the caller if there is none in time. */
        suspend fun awaitRoom(chunk: ByteArray) {
            if (connection.hasRoom(chunk)) return
            withTimeoutOrNull(MAX_PAUSE_MS) {
                while (!connection.hasRoom(chunk)) progress.receive()
            }
            if (!connection.hasRoom(chunk)) connection.cutAtLimit()
            scope.ensureActive()
        }

        private fun onHeld() {
            mostHeldBytes = maxOf(mostHeldBytes, connection.heldBytes)
            // The caller may have been cut for what was just added.
            scope.ensureActive()
        }

        private suspend fun writeAll() {
            caller.flush()
            while (true) {
                connection.onFlushed()
                progress.trySend(Unit)
                caller.sendChunk(connection.takeNext() ?: break)
            }
            connection.close()
            held = null
        }

        private fun onCut(cut: OutputBuffer.Cut) {
            this@CallerOutput.cut = cut
            mostHeldBytes = maxOf(mostHeldBytes, cut.connectionBytes)
            scope.cancel(CutException())
            this@CallerOutput.onCut(cut)
        }
    }

    private class CutException : CancellationException("the caller is cut")

    companion object {
        /** Targets cut off a response that is not read for some seconds. */
        const val MAX_PAUSE_MS = 1_000L

        /** Callers that read at all take the end of a response within this time. */
        const val MIN_END_MS = 1_000L
    }
}
