package org.bronzetide.http

import java.nio.channels.CancelledKeyException
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.util.concurrent.atomic.AtomicReference
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine

/** Suspends one reader and one writer at a time until a non-blocking channel is ready. */
internal class ChannelReadiness(channel: SelectableChannel, private val loop: TrafficLoop) {
    private val reader = AtomicReference<CancellableContinuation<Unit>>()
    private val writer = AtomicReference<CancellableContinuation<Unit>>()
    private val key = loop.register(channel, ::onReady)

    @Volatile
    private var isClosed = false

    suspend fun awaitReadable() = await(reader, SelectionKey.OP_READ)

    suspend fun awaitAcceptable() = await(reader, SelectionKey.OP_ACCEPT)

    suspend fun awaitWritable() = await(writer, SelectionKey.OP_WRITE)

    suspend fun awaitConnected() = await(writer, SelectionKey.OP_CONNECT)

    /** Fails the waiting coroutines; to be called after the channel was closed. */
    fun close() {
        isClosed = true
        fail(reader)
        fail(writer)
        // The selector releases a closed channel's file descriptor in its next select call.
        loop.wakeUp()
    }

    private suspend fun await(waiter: AtomicReference<CancellableContinuation<Unit>>, op: Int) =
        suspendCancellableCoroutine { continuation ->
            waiter.set(continuation)
            addInterest(op)
            if (isClosed) fail(waiter)
        }

    private fun addInterest(op: Int) {
        val before = try {
            key.interestOpsOr(op)
        } catch (_: CancelledKeyException) {
            // Another thread has closed the channel, and its close() fails the waiting coroutine.
            return
        }
        if (before and op == 0) loop.wakeUp()
    }

    private fun onReady(ready: SelectionKey) {
        if (!ready.isValid) return
        val ops = ready.readyOps()
        if (ops and READS != 0) resume(reader, ready, READS)
        if (ops and WRITES != 0) {
            // A connection is nearly always writable, so this interest is kept only while needed.
            ready.interestOpsAnd(WRITES.inv())
            writer.getAndSet(null)?.resume(Unit)
        }
    }

    /** Resumes the waiting coroutine; without one, drops the interest in [ops]. */
    private fun resume(
        waiter: AtomicReference<CancellableContinuation<Unit>>,
        ready: SelectionKey,
        ops: Int
    ) {
        val waiting = waiter.getAndSet(null)
        if (waiting != null) return waiting.resume(Unit)
        val interests = ready.interestOpsAnd(ops.inv())
        // A coroutine may have begun to wait in between.
        if (waiter.get() != null) ready.interestOpsOr(interests and ops)
    }

    private fun fail(waiter: AtomicReference<CancellableContinuation<Unit>>) {
        waiter.getAndSet(null)?.resumeWithException(ClosedChannelException())
    }

    private companion object {
        const val READS = SelectionKey.OP_READ or SelectionKey.OP_ACCEPT
        const val WRITES = SelectionKey.OP_WRITE or SelectionKey.OP_CONNECT
    }
}
