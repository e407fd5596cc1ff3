package org.bronzetide.node.dispatch

import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.delete
import io.ktor.client.request.header
import io.ktor.client.request.parameter
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readLine
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.MonotonicClock

/** One request to an engine. */
internal class EngineCall(
    val baseUrl: String,
    val requestId: String,
    val body: String,
    val promptTokens: Int,
    val traceparent: String?
)

/**
 * Sends requests to engines and reads their streams.
 *
 * A request is posted once, on a fresh connection. When the stream falls silent for [idleMs] or
 * breaks off, it is resumed by its id on another connection from the last token seen, and never
 * posted again.
 */
internal class EngineClient(
    private val http: HttpClient,
    private val clock: MonotonicClock,
    private val idleMs: Long
) {
    /** Runs [call] and passes each new event to [emit]. A cancelled call is cancelled there too. */
    suspend fun run(call: EngineCall, emit: suspend (StreamEvent) -> Unit): DispatchResult {
        val reader = StreamReader(clock, call.promptTokens, emit)
        val failure = post(call, reader)
        if (failure is Attempt.NoConnection) return DispatchResult.NotSent(failure.detail)
        if (failure is Attempt.Rejected) {
            return DispatchResult.Incomplete(
                failure.detail,
                reader.usage()
            )
        }
        return if (reader.isDone) finished(reader) else resume(call, reader)
    }

    /** Tells the engine to stop working on [requestId]; failures are ignored. */
    suspend fun cancel(baseUrl: String, requestId: String) {
        withTimeoutOrNull(CANCEL_TIMEOUT_MS) {
            runCatching { http.delete("$baseUrl/v1/streams/$requestId") }
        }
    }

    private suspend fun post(call: EngineCall, reader: StreamReader): Attempt =
        attempt(reader, "${call.baseUrl}/v1/chat/completions") {
            method = HttpMethod.Post
            header("X-Request-Id", call.requestId)
            call.traceparent?.let { header("traceparent", it) }
            contentType(ContentType.Application.Json)
            setBody(call.body)
        }

    private suspend fun resume(call: EngineCall, reader: StreamReader): DispatchResult {
        var failures = 0
        var quietSinceMs = clock.nowMs()
        while (failures < MAX_RESUME_FAILURES && clock.nowMs() - quietSinceMs < MAX_QUIET_MS) {
            val before = reader.position
            val result = attempt(reader, "${call.baseUrl}/v1/streams/${call.requestId}") {
                method = HttpMethod.Get
                parameter("after", reader.position)
            }
            if (reader.isDone) return finished(reader)
            if (result is Attempt.Rejected) {
                return DispatchResult.Incomplete(
                    result.detail,
                    reader.usage()
                )
            }
            if (reader.position > before) quietSinceMs = clock.nowMs()
            if (result is Attempt.Silent || reader.position > before) failures = 0 else failures++
            if (failures > 0) delay(RESUME_PAUSE_MS * failures)
        }
        return DispatchResult.Incomplete("the target's stream could not be resumed", reader.usage())
    }

    private fun finished(reader: StreamReader): DispatchResult = if (reader.isCancelled) {
        DispatchResult.Incomplete("the target cancelled the request", reader.usage())
    } else {
        DispatchResult.Finished(reader.response(), reader.usage())
    }

    private suspend fun attempt(
        reader: StreamReader,
        url: String,
        configure: HttpRequestBuilder.() -> Unit
    ): Attempt = try {
        withIdleLimit { idle ->
            val statement = http.prepareRequest(url) {
                configure()
                timeout { requestTimeoutMillis = Long.MAX_VALUE }
            }
            statement.execute { response -> read(response, reader, idle) }
        }
    } catch (cause: CancellationException) {
        throw cause
    } catch (cause: Exception) {
        val detail = cause.message ?: cause::class.simpleName.orEmpty()
        if (cause.isConnectFailure) Attempt.NoConnection(detail) else Attempt.Interrupted(detail)
    }

    private suspend fun read(
        response: HttpResponse,
        reader: StreamReader,
        idle: IdleWatchdog
    ): Attempt {
        if (response.status != HttpStatusCode.OK) {
            return Attempt.Rejected("target answered ${response.status.value}")
        }
        idle.onReceived()
        reader.isAcknowledged = true
        val body: ByteReadChannel = response.bodyAsChannel()
        while (!reader.isDone) {
            val line = body.readLine() ?: return Attempt.Interrupted("stream ended early")
            idle.whilePaused { reader.onLine(line) }
        }
        return Attempt.Complete
    }

    private suspend fun withIdleLimit(block: suspend (IdleWatchdog) -> Attempt): Attempt =
        coroutineScope {
            val idle = IdleWatchdog(clock, idleMs)
            val result = CompletableDeferred<Attempt>()
            val work = launch {
                try {
                    result.complete(block(idle))
                } catch (cause: CancellationException) {
                    throw cause
                } catch (cause: Exception) {
                    result.completeExceptionally(cause)
                }
            }
            val watchdog = launch {
                idle.awaitIdleTimeout()
                result.complete(Attempt.Silent)
            }
            try {
                result.await()
            } finally {
                watchdog.cancel()
                work.cancel()
            }
        }

    private sealed class Attempt {
        data object Complete : Attempt()

        data object Silent : Attempt()

        data class NoConnection(val detail: String) : Attempt()

        data class Interrupted(val detail: String) : Attempt()

        data class Rejected(val detail: String) : Attempt()
    }

    private companion object {
        const val CANCEL_TIMEOUT_MS = 1_000L
        const val MAX_RESUME_FAILURES = 4
        const val RESUME_PAUSE_MS = 100L
        const val MAX_QUIET_MS = 120_000L
    }
}
