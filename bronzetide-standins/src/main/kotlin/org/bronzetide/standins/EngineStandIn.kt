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
 * Plays a model engine over the chat-completions convention, with streams that can be resumed
 * (`GET /v1/streams/ID?after=N`) and cancelled (`DELETE /v1/streams/ID`).
 *
 * A prompt that holds `[out=N]` generates N tokens. Token i of an answer is the text of i and a
 * blank, so that a reader can tell whether an answer is whole.
 */
class EngineStandIn(val profile: EngineProfile = EngineProfile(), port: Int = 0) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val core = ContinuousBatcher(profile, scope)

    @Volatile
    private var laggingLoad = "{}"
    private val server = StandInServer(port) {
        post("/v1/chat/completions") { complete(call) }
        get("/v1/streams/{id}") { resume(call) }
        delete("/v1/streams/{id}") { cancelStream(call) }
        get("/v1/load") { call.respondText(laggingLoad, ContentType.Application.Json) }
    }

    /** How often each request id was received. */
    val requestCounts = ConcurrentHashMap<String, Int>()

    /** When each request id was received, in [System.nanoTime]. */
    val receivedAtNanos = ConcurrentHashMap<String, Long>()

    /** The tokens generated for each request id. */
    val outputTokenCounts = ConcurrentHashMap<String, Int>()

    /** The base URL. */
    val url: String get() = server.url

    /** The port that the engine listens on. */
    val port: Int get() = server.port

    /** How much slower than its profile the engine runs. */
    var slowdown: Double by core::slowdown

    /** The prompt tokens computed so far, cached ones left out. */
    val prefilledTokens: Long get() = core.prefilledTokens.get()

    /** The prompt tokens computed for the request [id]. */
    fun prefilledTokensOf(id: String): Int = core.find(id)?.prefilledTokens ?: 0

    init {
        scope.launch { reportLoad() }
    }

    override fun close() {
        scope.cancel()
        server.close()
    }

    private suspend fun reportLoad() {
        while (true) {
            val load = """{"running":${core.runningCount},"waiting":${core.waitingCount}}"""
            delay((LOAD_LAG_MS / profile.speedup).toLong())
            laggingLoad = load
        }
    }

    private suspend fun complete(call: ApplicationCall) {
        val body = JsonFormats.wire.parseToJsonElement(call.receiveText()).jsonObject
        val prompt = body.getValue("messages").jsonArray
            .joinToString("\n") { it.jsonObject.getValue("content").jsonPrimitive.content }
        val id = call.request.header("X-Request-Id") ?: "anonymous-${System.nanoTime()}"
        requestCounts.merge(id, 1, Int::plus)
        receivedAtNanos[id] = System.nanoTime()
        val sequence = core.admit(id, prompt, outputTokens(body, prompt))
        if (body["stream"]?.jsonPrimitive?.content == "true") {
            stream(call, sequence, after = 0)
        } else {
            awaitDone(sequence)
            call.respondText(completion(sequence), ContentType.Application.Json)
        }
    }

    private fun outputTokens(body: JsonObject, prompt: String): Int {
        val max = body["max_tokens"]?.jsonPrimitive?.content?.toInt() ?: DEFAULT_MAX_TOKENS
        val stated = outputPattern.find(prompt)?.groupValues?.get(1)?.toInt()
        return minOf(max, stated ?: (8 + Math.floorMod(prompt.hashCode(), 48)))
    }

    private suspend fun resume(call: ApplicationCall) {
        val sequence = core.find(call.parameters["id"].orEmpty())
            ?: return call.respond(HttpStatusCode.NotFound)
        stream(call, sequence, call.request.queryParameters["after"]?.toInt() ?: 0)
    }

    private suspend fun cancelStream(call: ApplicationCall) {
        val found = core.cancel(call.parameters["id"].orEmpty())
        call.respond(if (found) HttpStatusCode.NoContent else HttpStatusCode.NotFound)
    }

    private suspend fun awaitDone(sequence: EngineSequence) {
        val ticks = sequence.subscribe()
        while (!sequence.isDone) ticks.receive()
        sequence.unsubscribe(ticks)
        outputTokenCounts[sequence.id] = sequence.producedTokens
    }

    private suspend fun stream(call: ApplicationCall, sequence: EngineSequence, after: Int) {
        call.respondBytesWriter(ContentType.Text.EventStream) {
            writeStringUtf8(": accepted\n\n")
            flush()
            val ticks = sequence.subscribe()
            try {
                writeTokens(sequence, ticks, after)
            } finally {
                sequence.unsubscribe(ticks)
            }
            writeStringUtf8("data: ${finish(sequence)}\n\ndata: [DONE]\n\n")
            flush()
        }
    }

    private suspend fun ByteWriteChannel.writeTokens(
        sequence: EngineSequence,
        ticks: kotlinx.coroutines.channels.Channel<Unit>,
        after: Int
    ) {
        var sent = after
        while (true) {
            val isDone = sequence.isDone
            val produced = sequence.producedTokens
            if (produced > sent) {
                val content = (sent until produced).joinToString("") { "$it " }
                writeStringUtf8("id: $produced\ndata: ${chunk(sequence, content)}\n\n")
                flush()
                sent = produced
                outputTokenCounts[sequence.id] = produced
            }
            if (isDone) return
            ticks.receive()
        }
    }

    private fun chunk(sequence: EngineSequence, content: String) =
        """{"id":"${sequence.id}","object":"chat.completion.chunk","choices":[""" +
            """{"index":0,"delta":{"content":"$content"},"finish_reason":null}]}"""

    private fun finish(sequence: EngineSequence) =
        """{"id":"${sequence.id}","object":"chat.completion.chunk","choices":[{"index":0,""" +
            """"delta":{},"finish_reason":"${reason(sequence)}"}],"usage":${usage(sequence)}}"""

    private fun completion(sequence: EngineSequence): String {
        val content = (0 until sequence.producedTokens).joinToString("") { "$it " }
        return """{"id":"${sequence.id}","object":"chat.completion","choices":[{"index":0,""" +
            """"message":""" +
            """{"role":"assistant","content":"$content"},"finish_reason":"${reason(
                sequence
            )}"}],""" +
            """"usage":${usage(sequence)}}"""
    }

    private fun reason(sequence: EngineSequence) = if (sequence.isCancelled) "cancelled" else "stop"

    private fun usage(sequence: EngineSequence) =
        """{"prompt_tokens":${sequence.promptTokens},"completion_tokens":${sequence.producedTokens}}"""

    private companion object {
        const val LOAD_LAG_MS = 1_000
        const val DEFAULT_MAX_TOKENS = 1_024
        val outputPattern = Regex("""\[out=(\d+)]""")
    }
}
