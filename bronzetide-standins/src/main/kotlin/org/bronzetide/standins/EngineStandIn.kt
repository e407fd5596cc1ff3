package org.bronzetide.standins

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.bronzetide.model.JsonFormats

/**
 * Simulates a model engine with the chat-completions API, whose streams can be resumed
 * (`GET /v1/streams/ID?after=N`) and cancelled (`DELETE /v1/streams/ID`).
 *
 * A prompt that contains `[out=N]` generates N tokens, at most the request's `max_tokens`. Token i
 * of a response is the number i and a space, so that a client can check that a response is
 * complete.
 *
 * @param profile the engine's speed and capacity
 * @param port the port to listen on; 0 picks a free one
 */
class EngineStandIn(val profile: EngineProfile = EngineProfile(), port: Int = 0) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val batcher = ContinuousBatcher(profile, scope)

    @Volatile
    private var reportedLoad = "{}"
    private val server = StandInServer(port) {
        post("/v1/chat/completions") { complete(call) }
        get("/v1/streams/{id}") { resume(call) }
        delete("/v1/streams/{id}") { cancelStream(call) }
        get("/v1/load") { call.respondText(reportedLoad, ContentType.Application.Json) }
    }

    /** The number of times that each request was received, by request id. */
    val requestCounts = ConcurrentHashMap<String, Int>()

    /** The [System.nanoTime] at which each request was last received, by request id. */
    val receivedAtNanos = ConcurrentHashMap<String, Long>()

    /** The number of output tokens of each request, as of its last event or its end. */
    val outputTokenCounts = ConcurrentHashMap<String, Int>()

    /** The base URL. */
    val url: String get() = server.url

    /** The port that the engine listens on. */
    val port: Int get() = server.port

    /** The factor by which the engine is slower than its profile; 1.0 is normal speed. */
    var slowdown: Double by batcher::slowdown

    /** The number of prompt tokens prefilled so far, without cached ones. */
    val prefilledTokens: Long get() = batcher.prefilledTokens.get()

    /** The number of prompt tokens prefilled for the request [id], or 0 if it is unknown. */
    fun prefilledTokensOf(id: String): Int = batcher.find(id)?.prefilledTokens ?: 0

    init {
        scope.launch { reportLoad() }
    }

    override fun close() {
        scope.cancel()
        server.close()
    }

    private suspend fun reportLoad() {
        while (true) {
            val load = """{"running":${batcher.runningCount},"waiting":${batcher.waitingCount}}"""
            delay((LOAD_REPORT_DELAY_MS / profile.speedup).toLong())
            reportedLoad = load
        }
    }

    private suspend fun complete(call: ApplicationCall) {
        val body = JsonFormats.wire.parseToJsonElement(call.receiveText()).jsonObject
        val prompt = body.getValue("messages").jsonArray
            .joinToString("\n") { it.jsonObject.getValue("content").jsonPrimitive.content }
        val id = call.request.header("X-Request-Id") ?: "anonymous-${System.nanoTime()}"
        requestCounts.merge(id, 1, Int::plus)
        receivedAtNanos[id] = System.nanoTime()
        val sequence = batcher.admit(id, prompt, outputTokens(body, prompt))
        if (body["stream"]?.jsonPrimitive?.content == "true") {
            stream(call, sequence, after = 0)
        } else {
            awaitCompletion(sequence)
            call.respondText(completion(sequence), ContentType.Application.Json)
        }
    }

    private fun outputTokens(body: JsonObject, prompt: String): Int {
        val maxTokens = body["max_tokens"]?.jsonPrimitive?.content?.toInt() ?: DEFAULT_MAX_TOKENS
        val requestedTokens = outputPattern.find(prompt)?.groupValues?.get(1)?.toInt()
        // A prompt without a stated length generates 8 to 55 tokens, fixed by its hash.
        return minOf(maxTokens, requestedTokens ?: (8 + Math.floorMod(prompt.hashCode(), 48)))
    }

    private suspend fun resume(call: ApplicationCall) {
        val sequence = batcher.find(call.parameters["id"].orEmpty())
            ?: return call.respond(HttpStatusCode.NotFound)
        stream(call, sequence, call.request.queryParameters["after"]?.toInt() ?: 0)
    }

    private suspend fun cancelStream(call: ApplicationCall) {
        val found = batcher.cancel(call.parameters["id"].orEmpty())
        call.respond(if (found) HttpStatusCode.NoContent else HttpStatusCode.NotFound)
    }

    private suspend fun awaitCompletion(sequence: EngineSequence) {
        val updates = sequence.subscribe()
        while (!sequence.isDone) updates.receive()
        sequence.unsubscribe(updates)
        outputTokenCounts[sequence.id] = sequence.produced
    }

    private suspend fun stream(call: ApplicationCall, sequence: EngineSequence, after: Int) {
        call.respondBytesWriter(ContentType.Text.EventStream) {
            writeStringUtf8(": accepted\n\n")
            flush()
            val updates = sequence.subscribe()
            try {
                writeTokens(sequence, updates, after)
            } finally {
                sequence.unsubscribe(updates)
            }
            writeStringUtf8("data: ${finalChunk(sequence)}\n\ndata: [DONE]\n\n")
            flush()
        }
    }

    private suspend fun ByteWriteChannel.writeTokens(
        sequence: EngineSequence,
        updates: kotlinx.coroutines.channels.Channel<Unit>,
        after: Int
    ) {
        var sent = after
        while (true) {
            val isDone = sequence.isDone
            val produced = sequence.produced
            if (produced > sent) {
                val content = (sent until produced).joinToString("") { "$it " }
                writeStringUtf8("id: $produced\ndata: ${chunk(sequence, content)}\n\n")
                flush()
                sent = produced
                outputTokenCounts[sequence.id] = produced
            }
            if (isDone) return
            updates.receive()
        }
    }

    private fun chunk(sequence: EngineSequence, content: String) =
        """{"id":"${sequence.id}","object":"chat.completion.chunk","choices":[""" +
            """{"index":0,"delta":{"content":"$content"},"finish_reason":null}]}"""

    private fun finalChunk(sequence: EngineSequence) =
        """{"id":"${sequence.id}","object":"chat.completion.chunk","choices":[{"index":0,""" +
            """"delta":{},"finish_reason":"${reason(sequence)}"}],"usage":${usage(sequence)}}"""

    private fun completion(sequence: EngineSequence): String {
        val content = (0 until sequence.produced).joinToString("") { "$it " }
        return """{"id":"${sequence.id}","object":"chat.completion","choices":[{"index":0,""" +
            """"message":""" +
            """{"role":"assistant","content":"$content"},"finish_reason":"${reason(
                sequence
            )}"}],""" +
            """"usage":${usage(sequence)}}"""
    }

    private fun reason(sequence: EngineSequence) = if (sequence.isCancelled) "cancelled" else "stop"

    private fun usage(sequence: EngineSequence) =
        """{"prompt_tokens":${sequence.promptTokens},"completion_tokens":${sequence.produced}}"""

    private companion object {
        /** The delay of the reported load, in simulated milliseconds. */
        const val LOAD_REPORT_DELAY_MS = 1_000
        const val DEFAULT_MAX_TOKENS = 1_024
        val outputPattern = Regex("""\[out=(\d+)]""")
    }
}
