package org.bronzetide.http

import io.ktor.http.HttpMethod
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.parseResponse
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writePacket
import java.io.EOFException

/** A request as it is sent; its body is framed by its length. */
public class OutgoingRequest(
    public val method: String,
    /** Path and query. */
    public val requestTarget: String,
    public val headers: List<Header>,
    public val body: ByteArray = ByteArray(0)
)

/** The head of an answer; its body is read from [body]. */
public class IncomingResponse(
    public val status: Int,
    public val headers: HeaderList,
    public val framing: Framing,
    public val body: MessageBody
)

/** A client's connection, which carries one request at a time. */
public class HttpConnection internal constructor(private val socket: TcpSocket, nowMs: Long) :
    AutoCloseable {
    private val input = socket.input
    private val output = socket.output

    /** When the last request ended, on the pool's clock. */
    internal var idleSinceMs = nowMs

    /** How long the other end keeps the connection when it is idle, if it says. */
    internal var keepAliveMs: Long? = null

    /** Whether the connection has carried a request before. */
    public var isReused: Boolean = false
        internal set

    /** Whether nothing arrived since the last answer and the other end is still there. */
    internal val isIdleAndOpen: Boolean get() = socket.isIdleAndOpen

    /** Sends [request]. */
    public suspend fun send(request: OutgoingRequest) {
        val builder = RequestResponseBuilder()
        builder.requestLine(HttpMethod(request.method), request.requestTarget, "HTTP/1.1")
        request.headers.forEach { builder.headerLine(it.name, it.value) }
        if (request.body.isNotEmpty() || request.method != "GET") {
            builder.headerLine("Content-Length", request.body.size.toString())
        }
        builder.emptyLine()
        output.writePacket(builder.build())
        if (request.body.isNotEmpty()) output.writeFully(request.body)
        output.flush()
    }

    /**
     * Waits for the head of the next answer; interim ones are passed over.
     *
     * @throws java.io.IOException if the connection ends or what arrives is no answer.
     */
    public suspend fun receive(): IncomingResponse {
        while (true) {
            val response = parseResponse(input) ?: throw EOFException("no answer")
            val answer = response.use {
                val headers = HeaderList.of(response.headers)
                val hasBody = response.status !in bodyless && response.status >= FINAL_STATUS
                val framing = if (hasBody) {
                    Framing.of(headers, Framing.UntilClose)
                } else {
                    Framing.Length(0)
                }
                IncomingResponse(response.status, headers, framing, MessageBody(input, framing))
            }
            if (answer.status >= FINAL_STATUS) return answer
        }
    }

    override fun close() {
        input.cancel(null)
        socket.close()
    }

    private companion object {
        const val FINAL_STATUS = 200
        val bodyless = setOf(204, 304)
    }
}
