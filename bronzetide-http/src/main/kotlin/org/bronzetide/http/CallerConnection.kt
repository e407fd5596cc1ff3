package org.bronzetide.http

import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.parseRequest
import io.ktor.utils.io.charsets.TooLongLineException
import io.ktor.utils.io.exhausted
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writePacket
import io.ktor.utils.io.writeStringUtf8

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
 * The server side of a caller's connection, which carries one request at a time.
 *
 * Every function that sends or receives throws [java.io.IOException] if the connection breaks.
 */
public class CallerConnection(private val socket: TcpSocket) : AutoCloseable {
    private val input = socket.input
    private val output = socket.output

    /** Waits for the first byte of a request; returns `false` if the caller has closed instead. */
    public suspend fun awaitRequest(): Boolean = !input.exhausted()

    /** Whether bytes of a request have arrived, received or not. */
    public val hasInput: Boolean get() = socket.hasInput

    /** Waits until the caller closes and returns `true`; `false` if it sends more bytes instead. */
    public suspend fun awaitClose(): Boolean = try {
        input.exhausted()
    } catch (_: java.io.IOException) {
        // A reset closes the connection as well.
        true
    }

    /**
     * Reads the head of the next request; returns `null` if the caller has closed the connection.
     *
     * @throws java.io.EOFException if the caller closes within the head.
     * @throws MalformedMessageException if the input is not a valid request.
     * @throws HeadTooLargeException if the head or a line of it is too long.
     */
    public suspend fun receive(): IncomingRequest? {
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
                MessageBody(input, Framing.of(headers, Framing.Length(0))),
                isKeepAlive
            )
        }
    }

    /** Sends the interim response 100, which asks the caller for the body that it announced. */
    public suspend fun sendContinue() {
        output.writeStringUtf8("HTTP/1.1 100 Continue\r\n\r\n")
        output.flush()
    }

    /** Sends a complete response. */
    public suspend fun send(status: Int, headers: List<Header>, body: ByteArray) {
        output.writePacket(
            head(status, headers + Header("Content-Length", body.size.toString())).build()
        )
        output.writeInParts(body)
        output.flush()
    }

    /** Starts a response whose body is sent by calls of [sendChunk]. */
    public suspend fun startResponse(status: Int, headers: List<Header>) {
        output.writePacket(head(status, headers + Header("Transfer-Encoding", "chunked")).build())
        output.flush()
    }

    /** Sends [bytes] as one chunk of the started response, unless they are empty. */
    public suspend fun sendChunk(bytes: ByteArray) {
        if (bytes.isEmpty()) return
        output.writeStringUtf8(bytes.size.toString(HEX) + "\r\n")
        output.writeFully(bytes)
        output.writeStringUtf8("\r\n")
        output.flush()
    }

    /** Ends the started response; without this call, the caller sees it as truncated. */
    public suspend fun finishResponse() {
        output.writeStringUtf8("0\r\n\r\n")
        output.flush()
    }

    /** Closes the connection after all buffered output has been sent. */
    public suspend fun closeAfterFlush() {
        output.flushAndClose()
        socket.close()
    }

    override fun close() {
        input.cancel(null)
        socket.close()
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
