package org.bronzetide.http

import io.ktor.http.HttpMethod
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.parseResponse
import io.ktor.utils.io.writePacket
import java.io.EOFException

/** A request to send; its body is framed by its length. */
public class OutgoingRequest(
    public val method: String,
    /** Path and query: the request-target of RFC 9112, section 3.2. */
    public val requestTarget: String,
    public val headers: List<Header>,
    public val body: ByteArray = ByteArray(0)
)

/** The head of a received response; its body is read from [body]. */
public class IncomingResponse(
    public val status: Int,
    public val headers: HeaderList,
    public val framing: Framing,
    public val body: MessageBody
)

/**
 * The client side of a connection, which carries one request at a time.
 *
 * The body of a response without a length ends with the connection. It is complete only if the
 * server has ended the connection in an orderly way and the request was fully written by then.
 */
public class HttpConnection internal constructor(private val socket: TcpSocket, nowMs: Long) :
    AutoCloseable {
    private val input = socket.input
    private val output = socket.output

    /** When the connection was opened or last released, on the pool's clock. */
    internal var idleSinceMs = nowMs

    /** How long the server keeps an idle connection, in milliseconds, if it announces that. */
    internal var keepAliveMs: Long? = null

    /** The requests sent on this connection so far. */
    internal val carriedRequests = CarriedRequests()

    /** Whether the latest request has been written to the socket in full. */
    private var isRequestWritten = true

    /** Whether the connection has carried a request before. */
    public var isReused: Boolean = false
        internal set

    /** Whether nothing has arrived since the last response and the server has not closed. */
    internal val isIdleAndOpen: Boolean get() = socket.isIdleAndOpen

    /**
     * Sends [request].
     *
     * @throws java.io.IOException if the connection breaks.
     */
    public suspend fun send(request: OutgoingRequest) {
        isRequestWritten = false
        val builder = RequestResponseBuilder()
        builder.requestLine(HttpMethod(request.method), request.requestTarget, "HTTP/1.1")
        request.headers.forEach { builder.headerLine(it.name, it.value) }
        if (request.body.isNotEmpty() || request.method != "GET") {
            builder.headerLine("Content-Length", request.body.size.toString())
        }
        builder.emptyLine()
        output.writePacket(builder.build())
        output.writeInParts(request.body)
        output.flush()
        isRequestWritten = true
    }

    /**
     * Checks that a body that has ended with the connection is complete. Its caller may repeat this
     * later: bytes of the request that were under way when the server closed are answered by a
     * reset, which takes a round trip.
     *
     * @throws TruncatedMessageException if the request is not fully written, or if the connection
     * was reset, also after the end of the input.
     */
    public fun requireOrderlyEnd() {
        if (!isRequestWritten) {
            throw TruncatedMessageException("response ended before the request was written")
        }
        if (socket.hasFailed) {
            throw TruncatedMessageException("connection reset at the end of the body")
        }
    }

    /**
     * Waits for the head of the next final response; interim responses (1xx) are skipped.
     *
     * @throws MalformedMessageException if the input is not a valid response.
     * @throws java.io.IOException if the connection ends, or the head has no end.
     */
    public suspend fun receive(): IncomingResponse = parsing("response") {
        socket.limitInput(TcpSocket.MAX_HEAD_BYTES) { receiveFinal() }
    }

    private suspend fun receiveFinal(): IncomingResponse {
        while (true) {
            val parsed = parseResponse(input) ?: throw EOFException("closed before a response")
            val response = parsed.use {
                socket.requireCompleteHead()
                if (parsed.status !in validStatuses) {
                    throw MalformedMessageException("invalid status ${parsed.status}")
                }
                val headers = HeaderList.of(parsed.headers)
                val hasBody = parsed.status !in statusesWithoutBody && parsed.status >= FINAL_STATUS
                val framing = if (hasBody) {
                    Framing.of(headers, Framing.UntilClose)
                } else {
                    Framing.Length(0)
                }
                val body = MessageBody(input, framing, onClose = ::requireOrderlyEnd)
                IncomingResponse(parsed.status, headers, framing, body)
            }
            if (response.status >= FINAL_STATUS) return response
        }
    }

    /**
     * Suspends until the server has sent bytes that were not read yet, and returns whether it has;
     * `false` means that it has closed the connection.
     *
     * @throws IOException if the connection breaks.
     */
    public suspend fun awaitInput(): Boolean = input.awaitContent()

    override fun close() {
        input.cancel(null)
        socket.close()
    }

    private companion object {
        const val FINAL_STATUS = 200
        val statusesWithoutBody = setOf(204, 304)

        /** The statuses that RFC 9110 defines, section 15; the parser also accepts 600 to 999. */
        val validStatuses = 100..599
    }
}
