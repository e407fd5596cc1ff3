package org.bronzetide.cli

import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.utils.io.readLine
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.bronzetide.model.JsonFormats

/** A response as its caller received it, with its timing in milliseconds since the send. */
data class CallerResponse(
    val status: Int,
    val requestId: String,
    val verdict: String,
    val reason: String,
    val text: String,
    /** Whether the status is 200 and a stream ended with `[DONE]` and without an error event. */
    val isComplete: Boolean,
    val firstByteMs: Double,
    val totalMs: Double,
    val isReplayed: Boolean
)

/**
 * Sends requests as a caller's client library does.
 *
 * @param timeoutMs the timeout of each request in milliseconds
 */
class CallerClient(private val http: HttpClient, private val timeoutMs: Long = DEFAULT_TIMEOUT_MS) {
    /** Requests a completion of [prompt] by [model] from the node at [baseUrl]. */
    suspend fun complete(
        baseUrl: String,
        key: String,
        model: String,
        prompt: String,
        options: Options = Options()
    ): CallerResponse {
        val content = JsonFormats.wire.encodeToString(
            kotlinx.serialization.serializer<String>(),
            prompt
        )
        val body =
            """{"model":"$model","max_tokens":${options.maxTokens},""" +
                """"stream":${options.isStreamed},""" +
                """"messages":[{"role":"user","content":$content}]}"""
        return send("$baseUrl/v1/chat/completions", key, body, options)
    }

    /** Posts [body] to the service operation at [url]. */
    suspend fun command(
        url: String,
        key: String,
        body: String,
        options: Options = Options()
    ): CallerResponse = send(url, key, body, options)

    private suspend fun send(
        url: String,
        key: String,
        body: String,
        options: Options
    ): CallerResponse {
        val sentNanos = System.nanoTime()
        val statement = http.preparePost(url) {
            bearerAuth(key)
            contentType(ContentType.Application.Json)
            options.tier?.let { header("X-Tier", it) }
            options.deadlineMs?.let { header("X-Deadline-Ms", it) }
            options.idempotencyKey?.let { header("Idempotency-Key", it) }
            timeout { requestTimeoutMillis = timeoutMs }
            setBody(body)
        }
        return statement.execute { read(it, sentNanos) }
    }

    private suspend fun read(response: HttpResponse, sentNanos: Long): CallerResponse {
        val channel = response.bodyAsChannel()
        val isStream = response.headers["Content-Type"].orEmpty().startsWith("text/event-stream")
        val text = StringBuilder()
        var firstByteNanos = 0L
        var hasEnded = !isStream
        var error: String? = null
        while (true) {
            val line = channel.readLine() ?: break
            if (firstByteNanos == 0L) firstByteNanos = System.nanoTime()
            when {
                !isStream -> text.append(line)
                line == "data: [DONE]" -> hasEnded = true
                line.startsWith("data: {\"error\"") -> error = line.removePrefix("data: ")
                line.startsWith("data: ") -> text.append(deltaText(line.removePrefix("data: ")))
            }
        }
        val body = if (isStream || response.status.value != 200) {
            text.toString()
        } else {
            completionText(text.toString())
        }
        return CallerResponse(
            status = response.status.value,
            requestId = response.headers["X-Request-Id"].orEmpty(),
            verdict = error?.let { verdictOf(it) } ?: response.headers["X-Verdict"].orEmpty(),
            reason = response.headers["X-Verdict-Reason"].orEmpty(),
            text = body,
            isComplete = hasEnded && error == null && response.status.value == 200,
            firstByteMs =
            ((if (firstByteNanos == 0L) System.nanoTime() else firstByteNanos) - sentNanos) / 1e6,
            totalMs = (System.nanoTime() - sentNanos) / 1e6,
            isReplayed = response.headers["X-Replayed"] == "true"
        )
    }

    private fun deltaText(data: String): String = runCatching {
        val choice = JsonFormats.wire.parseToJsonElement(data)
            .jsonObject.getValue("choices").jsonArray[0]
        choice.jsonObject.getValue("delta").jsonObject["content"]?.jsonPrimitive?.content.orEmpty()
    }.getOrDefault("")

    private fun completionText(body: String): String = runCatching {
        val choice = JsonFormats.wire.parseToJsonElement(body)
            .jsonObject.getValue("choices").jsonArray[0]
        choice.jsonObject.getValue("message").jsonObject.getValue("content").jsonPrimitive.content
    }.getOrDefault(body)

    private fun verdictOf(error: String): String? = runCatching {
        JsonFormats.wire.parseToJsonElement(error).jsonObject.getValue("error").jsonObject
            .getValue("verdict").jsonPrimitive.content
    }.getOrNull()

    /** The options of a request; [deadlineMs] is a duration in milliseconds. */
    data class Options(
        val isStreamed: Boolean = true,
        val maxTokens: Int = 256,
        val tier: Int? = null,
        val deadlineMs: Long? = null,
        val idempotencyKey: String? = null
    )

    private companion object {
        const val DEFAULT_TIMEOUT_MS = 120_000L
    }
}
