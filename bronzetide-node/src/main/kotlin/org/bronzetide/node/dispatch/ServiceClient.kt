package org.bronzetide.node.dispatch

import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import kotlinx.coroutines.CancellationException
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.StoredResponse

/** One request to a service that is not an engine, with [timeoutMs] for the whole response. */
internal class ServiceCall(
    val url: String,
    val method: String,
    val requestId: String,
    val body: String,
    val contentType: String?,
    val idempotencyKey: String?,
    val traceparent: String?,
    val timeoutMs: Long
)

/**
 * Sends requests to services that are not engines. Each request is sent once, on a new connection.
 */
internal class ServiceClient(private val http: HttpClient, private val clock: MonotonicClock) {
    /** Sends [call] and waits for the whole response. */
    suspend fun run(call: ServiceCall): DispatchResult {
        val startedAtMs = clock.nowMs()
        return try {
            val response = send(call)
            DispatchResult.Finished(response, usage(startedAtMs))
        } catch (cause: CancellationException) {
            throw cause
        } catch (cause: Exception) {
            val detail = cause.message ?: cause::class.simpleName.orEmpty()
            if (cause.isConnectFailure) {
                DispatchResult.NotSent(detail)
            } else {
                DispatchResult.Incomplete(detail, usage(startedAtMs))
            }
        }
    }

    private suspend fun send(call: ServiceCall): StoredResponse {
        val response = http.request(call.url) {
            method = HttpMethod(call.method)
            header("X-Request-Id", call.requestId)
            call.idempotencyKey?.let { header("Idempotency-Key", it) }
            call.traceparent?.let { header("traceparent", it) }
            timeout { requestTimeoutMillis = call.timeoutMs.coerceAtLeast(1) }
            if (call.body.isNotEmpty()) {
                contentType(
                    call.contentType?.let { ContentType.parse(it) } ?: ContentType.Application.Json
                )
                setBody(call.body)
            }
        }
        val type = response.headers[HttpHeaders.ContentType] ?: "application/octet-stream"
        return StoredResponse(response.status.value, type, response.bodyAsText())
    }

    private fun usage(startedAtMs: Long): Usage {
        val durationMs = clock.nowMs() - startedAtMs
        return Usage(firstTokenMs = durationMs, durationMs = durationMs)
    }
}
