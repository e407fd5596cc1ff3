package org.bronzetide.node.entry

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull
import org.bronzetide.model.JsonFormats

/** Parses requests of the chat completions API. */
internal object CompletionParser {
    private const val CHARS_PER_TOKEN = 4
    private const val PREFIX_CHARS = 512
    private const val DEFAULT_MAX_TOKENS = 1_024
    private const val MAX_OUTPUT_TOKENS_LIMIT = 1_000_000
    private const val MAX_DEPTH = 64
    private const val LONG_PROMPT_TOKENS = 1_000

    private val structuralChars = charArrayOf('\\', '"', '{', '[', '}', ']')

    /** Parses and validates [text]. */
    fun parse(text: String): ParseResult {
        if (isTooDeep(text)) return ParseResult.Invalid("the body is nested too deeply")
        val body = try {
            JsonFormats.requests.parseToJsonElement(text) as? JsonObject
        } catch (_: SerializationException) {
            return ParseResult.Invalid("the body is not valid JSON")
        }
        return if (body == null) ParseResult.Invalid("the body must be an object") else check(body)
    }

    private fun check(body: JsonObject): ParseResult {
        val model = body.string("model") ?: return ParseResult.Invalid("model must be a string")
        val messages = (body["messages"] as? JsonArray)?.takeIf { it.isNotEmpty() }
            ?: return ParseResult.Invalid("messages must be a list that is not empty")
        val texts = messages.map { textOf(it) }
        if (texts.any { it == null }) {
            return ParseResult.Invalid("each message needs a role and a content of text")
        }
        val limit = body["max_completion_tokens"] ?: body["max_tokens"]
        val maxTokens = if (limit == null) {
            DEFAULT_MAX_TOKENS
        } else {
            (limit as? JsonPrimitive)?.intOrNull
        }
        if (maxTokens == null || maxTokens !in 1..MAX_OUTPUT_TOKENS_LIMIT) {
            return ParseResult.Invalid("max_tokens must be from 1 to $MAX_OUTPUT_TOKENS_LIMIT")
        }
        val stream = body["stream"]
        val isStreamed = if (stream == null) false else (stream as? JsonPrimitive)?.booleanOrNull
        if (isStreamed == null) return ParseResult.Invalid("stream must be true or false")
        return ParseResult.Valid(
            model,
            toCompletion(body, texts.filterNotNull(), maxTokens, isStreamed)
        )
    }

    private fun toCompletion(
        body: JsonObject,
        texts: List<String>,
        maxTokens: Int,
        isStreamed: Boolean
    ): RequestContent.Completion {
        val prompt = texts.joinToString("\n")
        val promptTokens = maxOf(1, prompt.length / CHARS_PER_TOKEN)
        val forwardedBody = JsonObject(
            body - "max_completion_tokens" +
                mapOf("stream" to JsonPrimitive(true), "max_tokens" to JsonPrimitive(maxTokens))
        )
        val operation = if (promptTokens >= LONG_PROMPT_TOKENS) "long" else "short"
        val prefix = if (prompt.length < PREFIX_CHARS) {
            0
        } else {
            prompt.take(PREFIX_CHARS).hashCode().toLong()
        }
        return RequestContent.Completion(
            operation,
            forwardedBody,
            promptTokens,
            maxTokens,
            prefix,
            isStreamed
        )
    }

    private fun textOf(message: JsonElement): String? {
        if (message !is JsonObject || message.string("role") == null) return null
        return when (val content = message["content"]) {
            is JsonPrimitive -> content.content.takeIf { content.isString }
            is JsonArray -> content.map {
                (it as? JsonObject)?.string("text") ?: return null
            }.joinToString("")
            else -> null
        }
    }

    /** Counts the nesting by a scan of [text], so that a deeply nested body is never parsed. */
    private fun isTooDeep(text: String): Boolean {
        var depth = 0
        var isQuoted = false
        var index = text.indexOfAny(structuralChars)
        while (index >= 0) {
            when (text[index]) {
                '\\' -> if (isQuoted) index++
                '"' -> isQuoted = !isQuoted
                '{', '[' -> if (!isQuoted && ++depth > MAX_DEPTH) return true
                else -> if (!isQuoted) depth--
            }
            index = text.indexOfAny(structuralChars, index + 1)
        }
        return false
    }

    private fun JsonObject.string(name: String): String? =
        (this[name] as? JsonPrimitive)?.takeIf { it.isString }?.content

    /** The result of [parse]. */
    sealed class ParseResult {
        data class Valid(val model: String, val content: RequestContent.Completion) : ParseResult()

        data class Invalid(val message: String) : ParseResult()
    }
}
