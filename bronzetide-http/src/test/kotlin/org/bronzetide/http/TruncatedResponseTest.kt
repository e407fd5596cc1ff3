package org.bronzetide.http

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.assertj.core.api.Assertions.assertThatThrownBy
import org.bronzetide.coordination.ManualClock

/**
 * Responses with neither a length nor chunks whose connection ends in different ways. Guards
 * against part of a response being taken for all of it.
 */
class TruncatedResponseTest {
    private val loop = TrafficLoop()
    private val pool = ConnectionPool(loop, ManualClock())
    private val server = ServerSocket(0, 10, InetAddress.getByName(HOST))
    private val hasEnded = CountDownLatch(1)

    /** Reached once the request is written, so that only the reading side can notice a reset. */
    private val isWritten = CountDownLatch(1)

    @AfterTry
    fun close() {
        isWritten.countDown()
        hasEnded.countDown()
        pool.close()
        server.close()
        loop.close()
    }

    /** The failed write consumes the socket's error, after which a read reports an orderly end. */
    @Example
    fun resetNoticedByTheWritingSideIsNoEnd() = withConnection({ reset(it) }) { connection ->
        val failure = runCatching { connection.send(upload(HUGE_BODY_BYTES)) }.exceptionOrNull()
        assertThat(failure).isInstanceOf(IOException::class.java)
        assertThatIncomplete { connection.receive().body.readAll(MAX_BODY_BYTES) }
    }

    @Example
    fun resetNoticedByTheReadingSideIsNoEnd() = withConnection({
        isWritten.await()
        reset(it)
    }) { connection ->
        connection.send(upload(SMALL_BODY_BYTES))
        isWritten.countDown()
        withContext(Dispatchers.IO) { hasEnded.await() }
        assertThatIncomplete { connection.receive().body.readAll(MAX_BODY_BYTES) }
    }

    /** The input has ended in an orderly way by then, so that no read reports the reset. */
    @Example
    fun resetAfterTheEndOfTheInputIsNoEnd() = withConnection({
        isWritten.await()
        it.shutdownOutput()
        // The request is still unread, so that closing resets the connection.
        it.close()
        hasEnded.countDown()
    }) { connection ->
        connection.send(upload(SMALL_BODY_BYTES))
        isWritten.countDown()
        withContext(Dispatchers.IO) { hasEnded.await() }
        assertThatIncomplete { connection.receive().body.readAll(MAX_BODY_BYTES) }
    }

    /** Guards against a response to part of a request counting as the response to all of it. */
    @Example
    fun orderlyEndBeforeTheRequestIsWrittenIsNoEnd() = withConnection({
        it.shutdownOutput()
        hasEnded.await()
    }) { connection ->
        val sending = async(start = CoroutineStart.UNDISPATCHED) {
            runCatching { connection.send(upload(HUGE_BODY_BYTES)) }
        }
        assertThatIncomplete { connection.receive().body.readAll(MAX_BODY_BYTES) }
        connection.close()
        assertThat(sending.await().isFailure).isTrue()
    }

    @Example
    fun orderlyEndAfterTheRequestIsTheEnd() = withConnection({
        it.getInputStream().readNBytes(SMALL_BODY_BYTES)
        it.close()
        hasEnded.countDown()
    }) { connection ->
        connection.send(upload(SMALL_BODY_BYTES))
        withContext(Dispatchers.IO) { hasEnded.await() }
        val body = connection.receive().body.readAll(MAX_BODY_BYTES)
        assertThat(body.decodeToString()).isEqualTo("part")
    }

    /** The server reads the head, sends the beginning of a response, and then does [end]. */
    private fun withConnection(
        end: (Socket) -> Unit,
        block: suspend kotlinx.coroutines.CoroutineScope.(HttpConnection) -> Unit
    ) {
        thread(isDaemon = true) {
            val socket = server.accept()
            readHead(socket)
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\npart".toByteArray())
            end(socket)
        }
        runBlocking(loop) {
            withTimeout(TIMEOUT_MS) {
                pool.open(HOST, server.localPort).use { block(it) }
            }
        }
    }

    private fun readHead(socket: Socket) {
        var last = 0
        while (last != HEAD_END) last = (last shl Byte.SIZE_BITS) or socket.getInputStream().read()
    }

    private fun reset(socket: Socket) {
        socket.setSoLinger(true, 0)
        socket.close()
        hasEnded.countDown()
    }

    private fun upload(bodyBytes: Int) =
        OutgoingRequest("POST", "/", emptyList(), ByteArray(bodyBytes))

    private suspend fun assertThatIncomplete(read: suspend () -> ByteArray) {
        val result = runCatching { read() }
        assertThatThrownBy { result.getOrThrow() }.isInstanceOf(IOException::class.java)
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val TIMEOUT_MS = 5_000L
        const val MAX_BODY_BYTES = 100_000

        /** Fits into the buffers of the sockets. */
        const val SMALL_BODY_BYTES = 20_000

        /** More than the buffers of the sockets hold, so that the write has to wait. */
        const val HUGE_BODY_BYTES = 64_000_000

        /** CR LF CR LF. */
        const val HEAD_END = 0x0D0A0D0A
    }
}
