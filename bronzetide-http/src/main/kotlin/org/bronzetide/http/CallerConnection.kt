package org.bronzetide.http

import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.parseRequest
import io.ktor.utils.io.charsets.TooLongLineException
import io.ktor.utils.io.exhausted
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writePacket
import io.ktor.utils.io.writeStringUtf8
import java.io.IOException
import kotlinx.io.writeString

/** How far a response has got. */
public enum class ResponseProgress {
    /** Nothing of it was written. */
    NONE,

    /** Some of it may have been written. */
    BEGUN,

    /** All of it was written. */
    COMPLETE
}

/** The head of a received request; its body is read from [body]. */
public class IncomingRequest(
    public val method: String,
    /** Path and query as sent: the request-target of RFC 9112, section 3.2. */
    public val requestTarget: String,
    public val headers: HeaderList,
    public val body: MessageBody,
    /** Whether the caller may send another request on the connection. */
    public val isKeepAlive: Boolean
) {
    /** The path without the query. */
    public val path: String get() = requestTarget.substringBefore('?')
}

/**
 * The connection to a caller broke, or the caller closed it within a message. No other failure has
 * this type, so that one of a target or of the process itself is not taken for the caller's.
 */
public class CallerConnectionException(message: String?, cause: Throwable? = null) :
    IOException(message, cause)

/**
 * The server side of a caller's connection, which carries one request at a time.
 *
 * Every function that sends or receives, and the body of a request, throws
 * [CallerConnectionException] if the connection breaks.
 */
public class CallerConnection(private val socket: TcpSocket) : AutoCloseable {
    private val input = socket.input
    private val output = socket.output

    /** The address and port of the caller's end, or `null` if the connection is closed. */
    public val remoteAddress: String? get() = socket.remoteAddress

    /** How far the response to the current request has got. */
    public var responseProgress: ResponseProgress = ResponseProgress.NONE
        private set

    /** The status of the response to the current request, or `null` if none has begun. */
    public var responseStatus: Int? = null
        private set

    /** Waits for the first byte of a request; returns `false` if the caller has closed instead. */
    public suspend fun awaitRequest(): Boolean = onCallerSide { !input.exhausted() }

    /** Whether bytes of a request have arrived, received or not. */
    public val hasInput: Boolean get() = socket.hasInput

    /** Waits until the caller closes and returns `true`; `false` if it sends more bytes instead. */
    public suspend fun awaitClose(): Boolean = try {
        input.exhausted()
    } catch (_: IOException) {
        // A reset closes the connection as well.
        true
    }

    /**
     * Reads the head of the next request; returns `null` if the caller has closed the connection.
     *
     * @throws CallerConnectionException if the caller closes within the head.
     * @throws MalformedMessageException if the input is not a valid request.
     * @throws HeadTooLargeException if the head or a line of it is too long.
     */
    public suspend fun receive(): IncomingRequest? = onCallerSide {
        responseProgress = ResponseProgress.NONE
        responseStatus = null
        receiveHead()
    }

    private suspend fun receiveHead(): IncomingRequest? {
        val request = try {
            parsing("request") {
                socket.limitInput(TcpSocket.MAX_HEAD_BYTES) { parseRequest(input) } ?: return null
            }
        } catch (_: TooLongLineException) {
            throw HeadTooLargeException()
        }
        return request.use {
            socket.requireCompleteHead()
            val headers = HeaderList.of(request.headers)
            if (headers.any { it.name.isEmpty() || it.name.any { c -> c <= ' ' } }) {
                throw MalformedMessageException("invalid header name")
            }
            val isKeepAlive = request.version.toString() == "HTTP/1.1" &&
                !headers.hasToken("Connection", "close")
            IncomingRequest(
                request.method.value,
                request.uri.toString(),
                headers,
                MessageBody(input, Framing.of(headers, Framing.Length(0)), ::ofCaller),
                isKeepAlive
            )
        }
    }

    /** Sends the interim response 100, which asks the caller for the body that it announced. */
    public suspend fun sendContinue(): Unit = onCallerSide {
        output.writeStringUtf8("HTTP/1.1 100 Continue\r\n\r\n")
        output.flush()
    }

    /** Sends a complete response. */
    public suspend fun send(status: Int, headers: List<Header>, body: ByteArray) {
        sendHead(status, headers + Header("Content-Length", body.size.toString()))
        onCallerSide {
            output.writeInParts(body)
            output.flush()
        }
        responseProgress = ResponseProgress.COMPLETE
    }

    /** Starts a response whose body is sent by calls of [sendChunk]. */
    public suspend fun startResponse(status: Int, headers: List<Header>) {
        beginResponse(status, headers)
        flush()
    }

    /** Starts a response like [startResponse], but sends its head with the first chunk. */
    public suspend fun beginResponse(status: Int, headers: List<Header>): Unit =
        sendHead(status, headers + Header("Transfer-Encoding", "chunked"))

    /** Sends [bytes] as one chunk of the started response, unless they are empty. */
    public suspend fun sendChunk(bytes: ByteArray) {
        if (bytes.isEmpty()) return
        onCallerSide {
            output.writeStringUtf8(bytes.size.toString(HEX) + "\r\n")
            output.writeFully(bytes)
            output.writeStringUtf8("\r\n")
            output.flush()
        }
    }

    /**
     * Writes [bytes] as one chunk of the started response without waiting for the caller, and
     * returns whether all output was sent. If not, [pendingOutputBytes] are left for [flush].
     */
    public fun trySendChunk(bytes: ByteArray): Boolean = onCallerSide {
        if (bytes.isNotEmpty()) {
            val buffer = socket.outputBuffer
            buffer.writeString(bytes.size.toString(HEX) + "\r\n")
            buffer.write(bytes)
            buffer.writeString("\r\n")
        }
        socket.tryFlush()
    }

    /** The bytes that were written to this connection and that its socket has not taken yet. */
    public val pendingOutputBytes: Long get() = socket.pendingOutputBytes

    /** Waits until the socket has taken all output. */
    public suspend fun flush(): Unit = onCallerSide { output.flush() }

    /** Ends the started response; without this call, the caller sees it as truncated. */
    public suspend fun finishResponse() {
        onCallerSide {
            output.writeStringUtf8("0\r\n\r\n")
            output.flush()
        }
        responseProgress = ResponseProgress.COMPLETE
    }

    /** Closes the connection, if it is open, after all buffered output has been sent. */
    public suspend fun closeAfterFlush() {
        if (!socket.isOpen) return
        onCallerSide { output.flushAndClose() }
        socket.close()
    }

    override fun close() {
        input.cancel(null)
        socket.close()
    }

    /** Writes a head without flushing it. What fails before the first byte begins no response. */
    private suspend fun sendHead(status: Int, headers: List<Header>) {
        val head = head(status, headers).build()
        responseProgress = ResponseProgress.BEGUN
        responseStatus = status
        onCallerSide { output.writePacket(head) }
    }

    private inline fun <T> onCallerSide(block: () -> T): T = try {
        block()
    } catch (cause: IOException) {
        throw ofCaller(cause)
    }

    private fun ofCaller(cause: IOException): IOException = when (cause) {
        is MalformedMessageException, is HeadTooLargeException, is CallerConnectionException ->
            cause

        else -> CallerConnectionException(cause.message ?: cause.toString(), cause)
    }

    private fun head(status: Int, headers: List<Header>): RequestResponseBuilder {
        val builder = RequestResponseBuilder()
        builder.responseLine("HTTP/1.1", status, reasonOf(status))
        headers.forEach { builder.headerLine(it.name, it.value) }
        builder.emptyLine()
        return builder
    }

    private fun reasonOf(status: Int): String =
        io.ktor.http.HttpStatusCode.fromValue(status).description

    private companion object {
        const val HEX = 16
    }
}
