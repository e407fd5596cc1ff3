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
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.MonotonicClock

/** One chat completion for the engine at [baseUrl]. */
internal class EngineCall(
    val baseUrl: String,
    val requestId: String,
    val body: String,
    val promptTokens: Int,
    val traceparent: String?
)

/**
 * Sends requests to engines and reads their event streams.
 *
 * A request is posted once, on a new connection, and never again. When the stream ends early or is
 * idle for [idleTimeoutMs], it is resumed by request id on another connection, after the last token
 * received.
 */
internal class EngineClient(
    private val http: HttpClient,
    private val clock: MonotonicClock,
    private val idleTimeoutMs: Long
) {
    /**
     * Runs [call] and passes each new event to [emit]. Cancelling the coroutine does not stop the
     * engine; [cancel] does.
     *
     * @throws EmitException if [emit] fails.
     */
    suspend fun run(call: EngineCall, emit: suspend (StreamEvent) -> Unit): DispatchResult {
        val reader = StreamReader(clock, call.promptTokens) { event ->
            try {
                emit(event)
            } catch (cause: Throwable) {
                // A cancelled dispatch must stay one.
                currentCoroutineContext().ensureActive()
                throw EmitException(cause)
            }
        }
        val result = post(call, reader)
        if (result is Attempt.NoConnection) return DispatchResult.NotSent(result.detail)
        if (result is Attempt.Rejected) {
            return DispatchResult.Incomplete(result.detail, reader.usage())
        }
        return if (reader.isDone) finished(reader) else resume(call, reader)
    }

    /** Asks the engine to cancel [requestId]; failures are ignored. */
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
        var lastProgressAtMs = clock.nowMs()
        while (failures < MAX_RESUME_FAILURES &&
            clock.nowMs() - lastProgressAtMs < MAX_NO_PROGRESS_MS
        ) {
            val before = reader.tokenCount
            val result = attempt(reader, "${call.baseUrl}/v1/streams/${call.requestId}") {
                method = HttpMethod.Get
                parameter("after", reader.tokenCount)
            }
            if (reader.isDone) return finished(reader)
            if (result is Attempt.Rejected) {
                return DispatchResult.Incomplete(result.detail, reader.usage())
            }
            if (reader.tokenCount > before) lastProgressAtMs = clock.nowMs()
            if (result is Attempt.Idle || reader.tokenCount > before) failures = 0 else failures++
            if (failures > 0) delay(RESUME_DELAY_MS * failures)
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
        withIdleTimeout { watchdog ->
            val statement = http.prepareRequest(url) {
                configure()
                timeout { requestTimeoutMillis = Long.MAX_VALUE }
            }
            statement.execute { response -> read(response, reader, watchdog) }
        }
    } catch (cause: CancellationException) {
        throw cause
    } catch (cause: EmitException) {
        throw cause
    } catch (cause: Exception) {
        val detail = cause.message ?: cause::class.simpleName.orEmpty()
        if (cause.isConnectFailure) Attempt.NoConnection(detail) else Attempt.Interrupted(detail)
    }

    private suspend fun read(
        response: HttpResponse,
        reader: StreamReader,
        watchdog: IdleWatchdog
    ): Attempt {
        if (response.status != HttpStatusCode.OK) {
            return Attempt.Rejected("target answered ${response.status.value}")
        }
        watchdog.onReceived()
        reader.isAcknowledged = true
        val body: ByteReadChannel = response.bodyAsChannel()
        while (!reader.isDone) {
            val line = body.readLine() ?: return Attempt.Interrupted("stream ended early")
            watchdog.whilePaused { reader.onLine(line) }
        }
        return Attempt.Complete
    }

    private suspend fun withIdleTimeout(block: suspend (IdleWatchdog) -> Attempt): Attempt =
        coroutineScope {
            val watchdog = IdleWatchdog(clock, idleTimeoutMs)
            val result = CompletableDeferred<Attempt>()
            val blockJob = launch {
                try {
                    result.complete(block(watchdog))
                } catch (cause: CancellationException) {
                    throw cause
                } catch (cause: Exception) {
                    result.completeExceptionally(cause)
                }
            }
            // A cancellation that does not come from here would leave no result.
            blockJob.invokeOnCompletion { it?.let(result::completeExceptionally) }
            val timeoutJob = launch {
                watchdog.awaitIdleTimeout()
                result.complete(Attempt.Idle)
            }
            try {
                result.await()
            } finally {
                timeoutJob.cancel()
                blockJob.cancel()
            }
        }

    private sealed class Attempt {
        data object Complete : Attempt()

        data object Idle : Attempt()

        data class NoConnection(val detail: String) : Attempt()

        data class Interrupted(val detail: String) : Attempt()

        data class Rejected(val detail: String) : Attempt()
    }

    private companion object {
        const val CANCEL_TIMEOUT_MS = 1_000L
        const val MAX_RESUME_FAILURES = 4
        const val RESUME_DELAY_MS = 100L
        const val MAX_NO_PROGRESS_MS = 120_000L
    }
}

/**
 * An event could not be passed on. It is no failure of the engine, whose stream would else be
 * resumed after an event that the caller lacks.
 */
internal class EmitException(cause: Throwable) : RuntimeException(cause)
