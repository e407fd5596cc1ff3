package org.bronzetide.http

import io.ktor.http.cio.ParserException
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.parseRequest
import io.ktor.utils.io.exhausted
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writePacket
import io.ktor.utils.io.writeStringUtf8

/** A request as it came. */
public class IncomingRequest(
    public val method: String,
    /** Path and query as sent. */
    public val requestTarget: String,
    public val headers: HeaderList,
    public val body: MessageBody,
    /** Whether the caller may send another request on the connection. */
    public val isKeepAlive: Boolean
) {
    /** The path without the query. */
    public val path: String get() = requestTarget.substringBefore('?')
}

/** A server's side of one connection, which carries one request at a time. */
public class CallerConnection(private val socket: TcpSocket) : AutoCloseable {
    private val input = socket.input
    private val output = socket.output

    /** Waits until a byte of a request is there; `false` if the caller ended the connection. */
    public suspend fun awaitRequest(): Boolean = !input.exhausted()

    /** Suspends until the caller ends the connection, or returns at once if it sends ahead. */
    public suspend fun awaitClose(): Boolean = try {
        input.exhausted()
    } catch (_: java.io.IOException) {
        // A reset is an end as well.
        true
    }

    /**
     * Reads the next request's head, or gives `null` if the caller ended the connection.
     *
     * @throws MalformedMessageException if what arrives is no request.
     */
    public suspend fun receive(): IncomingRequest? {
        val request = try {
            parseRequest(input) ?: return null
        } catch (cause: ParserException) {
            throw MalformedMessageException(cause.message.orEmpty())
        }
        return request.use {
            val headers = HeaderList.of(request.headers)
            if (headers.any { it.name.isEmpty() || it.name.any { c -> c <= ' ' } }) {
                throw MalformedMessageException("header name")
            }
            val keeps = request.version.toString() == "HTTP/1.1" &&
                !headers.hasToken("Connection", "close")
            IncomingRequest(
                request.method.value,
                request.uri.toString(),
                headers,
                MessageBody(input, Framing.of(headers, Framing.Length(0))),
                keeps
            )
        }
    }

    /** Tells the caller to go on with the body that it announced. */
    public suspend fun sendContinue() {
        output.writeStringUtf8("HTTP/1.1 100 Continue\r\n\r\n")
        output.flush()
    }

    /** Sends a whole answer. */
    public suspend fun send(status: Int, headers: List<Header>, body: ByteArray) {
        output.writePacket(
            head(status, headers + Header("Content-Length", body.size.toString())).build()
        )
        if (body.isNotEmpty()) output.writeFully(body)
        output.flush()
    }

    /** Starts an answer whose body follows by [sendChunk]. */
    public suspend fun startResponse(status: Int, headers: List<Header>) {
        output.writePacket(head(status, headers + Header("Transfer-Encoding", "chunked")).build())
        output.flush()
    }

    /** Sends one piece of the body of an answer that was started. */
    public suspend fun sendChunk(bytes: ByteArray) {
        if (bytes.isEmpty()) return
        output.writeStringUtf8(bytes.size.toString(HEX) + "\r\n")
        output.writeFully(bytes)
        output.writeStringUtf8("\r\n")
        output.flush()
    }

    /** Ends an answer that was started; without it, the caller sees that the answer broke off. */
    public suspend fun finishResponse() {
        output.writeStringUtf8("0\r\n\r\n")
        output.flush()
    }

    /** Ends the connection once what was sent has left. */
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
