package org.bronzetide.node.dispatch

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.StoredResponse
import org.bronzetide.model.JsonFormats

/** One server-sent event: its [data], and the completion text in it, which may be empty. */
internal class StreamEvent(val data: String, val text: String)

/**
 * Reads the server-sent events of one engine request across resumed connections, without gaps or
 * duplicates. Event ids number the tokens, so a token that arrives again is dropped.
 */
internal class StreamReader(
    private val clock: MonotonicClock,
    private val promptTokens: Int,
    private val emit: suspend (StreamEvent) -> Unit
) {
    private val startedAtMs = clock.nowMs()
    private val text = StringBuilder()
    private var firstTokenAtMs = 0L
    private var eventId: Int? = null
    private var finalChunk: Chunk? = null
    private var endedAtMs = 0L

    /** The number of tokens received, after which a resumed stream continues. */
    var tokenCount = 0
        private set

    /** Whether the engine marked the end of the stream. */
    var isDone = false
        private set

    /** Whether the target responded with a stream, which proves that it accepted the request. */
    var isAcknowledged = false

    /** Whether the target ended the stream because the request was cancelled. */
    val isCancelled: Boolean get() = finalChunk?.choices?.firstOrNull()?.finishReason == "cancelled"

    /**
     * Processes one line of the stream.
     *
     * @throws kotlinx.serialization.SerializationException if the data of an event is not a chunk
     */
    suspend fun onLine(line: String) {
        when {
            line.startsWith("id: ") -> eventId = line.substring(ID_START).trim().toIntOrNull()
            line == "data: [DONE]" -> onStreamEnd()
            line.startsWith("data: ") -> onData(line.substring(DATA_START))
        }
    }

    /** The usage so far, from the engine's own figures once it has sent them. */
    fun usage(): Usage = Usage(
        promptTokens = finalChunk?.usage?.promptTokens ?: if (isAcknowledged) promptTokens else 0,
        outputTokens = maxOf(finalChunk?.usage?.completionTokens ?: 0, tokenCount),
        firstTokenMs = if (firstTokenAtMs == 0L) 0 else firstTokenAtMs - startedAtMs,
        durationMs = (if (isDone) endedAtMs else clock.nowMs()) - startedAtMs
    )

    /** The whole completion as a response that is not streamed. */
    fun response(): StoredResponse {
        val last = finalChunk
        val body = buildJsonObject {
            put("id", last?.id.orEmpty())
            put("object", "chat.completion")
            put("choices", choices(last))
            putJsonObject("usage") {
                put("prompt_tokens", last?.usage?.promptTokens ?: promptTokens)
                put("completion_tokens", tokenCount)
            }
        }
        return StoredResponse(
            status = 200,
            contentType = "application/json",
            body = body.toString()
        )
    }

    private fun choices(last: Chunk?) = buildJsonArray {
        add(
            buildJsonObject {
                put("index", 0)
                putJsonObject("message") {
                    put("role", "assistant")
                    put("content", text.toString())
                }
                put("finish_reason", JsonPrimitive(last?.choices?.firstOrNull()?.finishReason))
            }
        )
    }

    private fun onStreamEnd() {
        isDone = finalChunk != null
        endedAtMs = clock.nowMs()
    }

    private suspend fun onData(data: String) {
        val chunk = JsonFormats.wire.decodeFromString(Chunk.serializer(), data)
        val choice = chunk.choices.firstOrNull()
        if (choice?.finishReason != null) finalChunk = chunk
        val content = choice?.delta?.content
        val tokenNumber = eventId ?: (tokenCount + 1)
        eventId = null
        if (content == null) return emit(StreamEvent(data, ""))
        if (tokenNumber <= tokenCount) return
        if (firstTokenAtMs == 0L) firstTokenAtMs = clock.nowMs()
        tokenCount = tokenNumber
        text.append(content)
        emit(StreamEvent(data, content))
    }

    @Serializable
    internal class Chunk(
        val id: String = "",
        val choices: List<Choice> = emptyList(),
        val usage: TokenUsage? = null
    )

    @Serializable
    internal class Choice(
        val delta: Delta? = null,
        @SerialName("finish_reason") val finishReason: String? = null
    )

    @Serializable
    internal class Delta(val content: String? = null)

    @Serializable
    internal class TokenUsage(
        @SerialName("prompt_tokens") val promptTokens: Int = 0,
        @SerialName("completion_tokens") val completionTokens: Int = 0
    )

    private companion object {
        const val ID_START = 4
        const val DATA_START = 6
    }
}
