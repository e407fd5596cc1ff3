package org.bronzetide.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.InternalAPI
import java.io.EOFException
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.net.UnknownHostException
import java.nio.ByteBuffer
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.nio.channels.SocketChannel
import jdk.net.ExtendedSocketOptions
import kotlinx.coroutines.yield
import kotlinx.io.Buffer
import kotlinx.io.Sink
import kotlinx.io.Source
import kotlinx.io.UnsafeIoApi
import kotlinx.io.transferFrom
import kotlinx.io.unsafe.UnsafeBufferOperations

/**
 * A TCP connection on a [TrafficLoop], for one reader and one writer at a time.
 *
 * Its channels do their I/O in the calling coroutine; no job reads ahead in the background.
 */
public class TcpSocket internal constructor(private val channel: SocketChannel, loop: TrafficLoop) :
    AutoCloseable {
    private val readiness = ChannelReadiness(channel, loop)
    private val reader = Reader()

    /** The bytes that the peer sends. */
    public val input: ByteReadChannel get() = reader

    /**
     * Runs [block], which reads from [input].
     *
     * @throws HeadTooLargeException if it reads more than about [maxBytes] bytes; the input is not
     * usable any more then.
     */
    internal suspend fun <T> limitInput(maxBytes: Int, block: suspend () -> T): T {
        reader.remainingBytes = maxBytes.toLong()
        try {
            return block()
        } finally {
            reader.remainingBytes = Long.MAX_VALUE
        }
    }

    /**
     * Checks that the head of a message that was just parsed is complete: the parser takes the end
     * of the input for the end of the head.
     *
     * @throws EOFException if the peer closed the connection within the head.
     */
    internal fun requireCompleteHead() {
        if (reader.isClosedForRead && !reader.endsWithBlankLine) {
            throw EOFException("connection closed within the head of a message")
        }
    }

    private val writer = Writer()

    /** The bytes for the peer; buffered until they are flushed. */
    public val output: ByteWriteChannel get() = writer

    /** The buffer of [output], which a write never suspends for. */
    internal val outputBuffer: Sink get() = writer.buffer

    /** The bytes of [output] that the operating system has not taken yet. */
    internal val pendingOutputBytes: Long get() = writer.buffer.size

    /**
     * Writes as much of [output] as the operating system takes now, and returns whether that was
     * all.
     *
     * @throws IOException if the connection is broken.
     */
    internal fun tryFlush(): Boolean = writer.tryFlush()

    /** Whether this end has not been closed. */
    internal val isOpen: Boolean get() = channel.isOpen

    /** Whether there is no unread input and the peer has not closed; tested by a read. */
    internal val isIdleAndOpen: Boolean
        get() = try {
            channel.isOpen && reader.isEmpty && reader.receive() == 0
        } catch (_: IOException) {
            // The connection was reset while idle.
            false
        }

    /** Whether there is unread input; tested by a read. */
    internal val hasInput: Boolean
        get() = try {
            !reader.isEmpty || (channel.isOpen && reader.receive() > 0)
        } catch (_: IOException) {
            // The connection was reset while idle.
            false
        }

    /**
     * Whether the connection has failed, for example by a reset, be it noticed by a read, by a
     * write or by neither.
     *
     * A reset that follows the end of the input is reported by no read, and one that a write has
     * reported isn't reported again: the reads after it return the end of the input.
     */
    internal val hasFailed: Boolean
        get() = reader.closedCause != null || output.closedCause != null || hasPendingError

    /** Whether the selector finds an error pending, for which `OP_CONNECT` is documented. */
    private val hasPendingError: Boolean
        get() {
            if (!channel.isOpen) return false
            return Selector.open().use { selector ->
                try {
                    channel.register(selector, SelectionKey.OP_CONNECT)
                    selector.selectNow() > 0
                } catch (_: ClosedChannelException) {
                    // Another thread has just closed the connection.
                    true
                }
            }
        }

    /** The address and port of the peer, or `null` if the connection is closed. */
    internal val remoteAddress: String?
        get() = try {
            channel.remoteAddress?.toString()?.removePrefix("/")
        } catch (_: IOException) {
            // A closed channel has none.
            null
        }

    override fun close() {
        channel.close()
        readiness.close()
    }

    @OptIn(InternalAPI::class)
    private inner class Reader : ByteReadChannel {
        private val buffer = Buffer()
        private var hasEnded = false
        private var mayHaveMoreInput = false

        /** The last four bytes received, the latest in the lowest bits. */
        private var lastBytes = 0

        /** Whether the bytes received so far end with an empty line. */
        val endsWithBlankLine: Boolean
            get() = lastBytes and 0xFFFF == LF_LF || lastBytes and 0xFFFFFF == LF_CR_LF

        /** How many more bytes may be received. */
        var remainingBytes = Long.MAX_VALUE

        val isEmpty: Boolean get() = buffer.exhausted()
        override val readBuffer: Source get() = buffer

        override var closedCause: Throwable? = null
            private set

        override val isClosedForRead: Boolean
            get() = closedCause != null || (hasEnded && buffer.exhausted())

        override suspend fun awaitContent(min: Int): Boolean {
            while (buffer.size < min) {
                closedCause?.let { throw it }
                if (hasEnded) return false
                // A read that did not fill the scratch buffer has left no input in the socket. A
                // peer that always has more must not keep the other coroutines from running.
                if (mayHaveMoreInput) yield() else readiness.awaitReadable()
                receive()
            }
            return true
        }

        override fun cancel(cause: Throwable?) {
            if (closedCause == null) closedCause = cause ?: IOException("reading was cancelled")
        }

        /** Reads available bytes without suspending; returns their number, or -1 at the end. */
        fun receive(): Int {
            val scratch = threadScratch.get().clear()
            val count = try {
                channel.read(scratch)
            } catch (cause: IOException) {
                closedCause = cause
                throw cause
            }
            mayHaveMoreInput = count == SCRATCH_BYTES
            remainingBytes -= maxOf(count, 0)
            if (remainingBytes < 0) {
                val cause = HeadTooLargeException()
                closedCause = cause
                throw cause
            }
            for (index in maxOf(0, count - Int.SIZE_BYTES) until count) {
                lastBytes = (lastBytes shl Byte.SIZE_BITS) or (scratch[index].toInt() and 0xFF)
            }
            if (count > 0) buffer.transferFrom(scratch.flip())
            if (count < 0) hasEnded = true
            return count
        }
    }

    @OptIn(InternalAPI::class, UnsafeIoApi::class)
    private inner class Writer : ByteWriteChannel {
        val buffer = Buffer()
        override val writeBuffer: Sink get() = buffer
        override val isClosedForWrite: Boolean get() = closedCause != null || !channel.isOpen

        override var closedCause: Throwable? = null
            private set

        override suspend fun flush() {
            while (!tryFlush()) readiness.awaitWritable()
        }

        fun tryFlush(): Boolean {
            closedCause?.let { throw it }
            while (!buffer.exhausted()) {
                if (writeFirstSegment() == 0) return false
            }
            return true
        }

        override suspend fun flushAndClose() {
            flush()
            channel.shutdownOutput()
        }

        override fun cancel(cause: Throwable?) {
            if (closedCause == null) closedCause = cause ?: IOException("writing was cancelled")
            channel.close()
        }

        private fun writeFirstSegment(): Int = try {
            UnsafeBufferOperations.readFromHead(buffer) { bytes, start, end ->
                channel.write(ByteBuffer.wrap(bytes, start, end - start))
            }
        } catch (cause: IOException) {
            closedCause = cause
            throw cause
        }
    }

    internal companion object {
        /** Well above the heads that manifests allow; a body may follow in the same read. */
        const val MAX_HEAD_BYTES = 131_072

        private const val LF_LF = 0x0A0A
        private const val LF_CR_LF = 0x0A0D0A

        /** Larger than most messages and events, so that these take one read. */
        private const val SCRATCH_BYTES = 16_384
        private val threadScratch: ThreadLocal<ByteBuffer> =
            ThreadLocal.withInitial { ByteBuffer.allocateDirect(SCRATCH_BYTES) }

        /** The idle time before a probe, and the time that the peer has to acknowledge it. */
        private const val PROBE_AFTER_S = 1

        /** How long a probed connection stays open after the peer has fallen silent. */
        const val SILENCE_TIMEOUT_MS = 2_000L * PROBE_AFTER_S

        /**
         * Connects to [address]. If [isProbed], the connection breaks [SILENCE_TIMEOUT_MS] ms after
         * the last sign of the peer's host, also while nothing is sent.
         *
         * @throws IOException if the connection is refused or cannot be made.
         */
        suspend fun connect(
            address: InetSocketAddress,
            loop: TrafficLoop,
            isProbed: Boolean = false
        ): TcpSocket {
            if (address.isUnresolved) throw UnknownHostException(address.hostString)
            val channel = SocketChannel.open()
            var isConnected = false
            try {
                channel.configureBlocking(false)
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
                if (isProbed) probeWhenIdle(channel)
                val isConnectedAtOnce = channel.connect(address)
                val socket = TcpSocket(channel, loop)
                if (!isConnectedAtOnce) {
                    socket.readiness.awaitConnected()
                    channel.finishConnect()
                }
                isConnected = true
                return socket
            } finally {
                if (!isConnected) {
                    channel.close()
                    loop.wakeUp()
                }
            }
        }

        private fun probeWhenIdle(channel: SocketChannel) {
            channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true)
            channel.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, PROBE_AFTER_S)
            channel.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, PROBE_AFTER_S)
            channel.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, 1)
        }
    }
}

/** The head of a message has more than [TcpSocket.MAX_HEAD_BYTES] bytes. */
public class HeadTooLargeException :
    IOException("head of a message exceeds ${TcpSocket.MAX_HEAD_BYTES} bytes")
