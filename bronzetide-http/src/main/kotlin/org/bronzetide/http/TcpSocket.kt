package org.bronzetide.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.InternalAPI
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import kotlinx.io.Buffer
import kotlinx.io.Sink
import kotlinx.io.Source
import kotlinx.io.UnsafeIoApi
import kotlinx.io.transferFrom
import kotlinx.io.unsafe.UnsafeBufferOperations

/**
 * A TCP connection on a [TrafficLoop], for one reader and one writer at a time.
 *
 * Its channels read and write in the coroutine that calls them; nothing is read ahead of need.
 */
public class TcpSocket internal constructor(private val channel: SocketChannel, loop: TrafficLoop) :
    AutoCloseable {
    private val readiness = ChannelReadiness(channel, loop)
    private val reader = Reader()

    /** What the other end sends. */
    public val input: ByteReadChannel get() = reader

    /** What is sent to the other end, when it is flushed. */
    public val output: ByteWriteChannel = Writer()

    /** Whether nothing has arrived that was not read, and the other end has not closed. */
    internal val isIdleAndOpen: Boolean
        get() = try {
            channel.isOpen && reader.isEmpty && reader.receive() == 0
        } catch (_: IOException) {
            // The connection was reset since.
            false
        }

    override fun close() {
        channel.close()
        readiness.close()
    }

    @OptIn(InternalAPI::class)
    private inner class Reader : ByteReadChannel {
        private val buffer = Buffer()
        private var hasEnded = false
        private var mayHoldMore = false

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
                // The last read took all there was unless it filled its buffer.
                if (!mayHoldMore) readiness.awaitReadable()
                receive()
            }
            return true
        }

        override fun cancel(cause: Throwable?) {
            if (closedCause == null) closedCause = cause ?: IOException("reading was cancelled")
        }

        /** Reads what is there without waiting and returns the number of bytes. */
        fun receive(): Int {
            val scratch = scratchOfThread.get().clear()
            val count = try {
                channel.read(scratch)
            } catch (cause: IOException) {
                closedCause = cause
                throw cause
            }
            mayHoldMore = count == SCRATCH_BYTES
            if (count > 0) buffer.transferFrom(scratch.flip())
            if (count < 0) hasEnded = true
            return count
        }
    }

    @OptIn(InternalAPI::class, UnsafeIoApi::class)
    private inner class Writer : ByteWriteChannel {
        private val buffer = Buffer()
        override val writeBuffer: Sink get() = buffer
        override val isClosedForWrite: Boolean get() = closedCause != null || !channel.isOpen

        override var closedCause: Throwable? = null
            private set

        override suspend fun flush() {
            closedCause?.let { throw it }
            while (!buffer.exhausted()) {
                if (writeHead() == 0) readiness.awaitWritable()
            }
        }

        override suspend fun flushAndClose() {
            flush()
            channel.shutdownOutput()
        }

        override fun cancel(cause: Throwable?) {
            if (closedCause == null) closedCause = cause ?: IOException("writing was cancelled")
            channel.close()
        }

        private fun writeHead(): Int = try {
            UnsafeBufferOperations.readFromHead(buffer) { bytes, start, end ->
                channel.write(ByteBuffer.wrap(bytes, start, end - start))
            }
        } catch (cause: IOException) {
            closedCause = cause
            throw cause
        }
    }

    internal companion object {
        /** Over the size of most messages and events; longer ones take several reads. */
        private const val SCRATCH_BYTES = 16_384
        private val scratchOfThread: ThreadLocal<ByteBuffer> =
            ThreadLocal.withInitial { ByteBuffer.allocateDirect(SCRATCH_BYTES) }

        /**
         * Connects to [address].
         *
         * @throws IOException if the connection is refused or cannot be made.
         */
        suspend fun connect(address: InetSocketAddress, loop: TrafficLoop): TcpSocket {
            val channel = SocketChannel.open()
            var isConnected = false
            try {
                channel.configureBlocking(false)
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
                val isAtOnce = channel.connect(address)
                val socket = TcpSocket(channel, loop)
                if (!isAtOnce) {
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
    }
}
