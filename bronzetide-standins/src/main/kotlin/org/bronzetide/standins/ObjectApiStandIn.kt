package org.bronzetide.standins

import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import java.util.TreeMap
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.serializer
import org.bronzetide.model.JsonFormats

/** Plays the platform's Object API: versions, conditional updates, watches, rates and outages. */
class ObjectApiStandIn(
    port: Int = 0,
    private val writesPerSecond: Double = 500.0,
    private val readsPerSecond: Double = 2_000.0
) : AutoCloseable {
    /** The fault that calls meet now. */
    @Volatile
    var fault: StoreFault = StoreFault.None

    /** The calls answered so far, watches included. */
    val reads = AtomicLong()

    /** The writes that took effect. */
    val writes = AtomicLong()

    private val objects = TreeMap<String, Stored>()
    private val changes = MutableStateFlow(0L)
    private val readRate = CallRate(readsPerSecond)
    private val writeRate = CallRate(writesPerSecond)
    private val server = StandInServer(port) {
        get("/objects") { handle(call, readRate) { list(call) } }
        get("/objects/{key...}") { handle(call, readRate) { read(call) } }
        put("/objects/{key...}") { handle(call, writeRate) { write(call) } }
    }

    /** The base URL. */
    val url: String get() = server.url

    /** The stored value of [key], for checks. */
    fun storedValue(key: String): String? = synchronized(objects) { objects[key]?.value }

    /** The keys that start with [prefix], for checks. */
    fun keys(prefix: String): List<String> =
        synchronized(objects) { objects.keys.filter { it.startsWith(prefix) } }

    override fun close() = server.close()

    private suspend fun handle(call: ApplicationCall, rate: CallRate, answer: suspend () -> Unit) {
        val now = fault
        if (now is StoreFault.Slow) delay(now.delayMs)
        when {
            now is StoreFault.Unavailable -> call.respond(HttpStatusCode.ServiceUnavailable)
            !rate.tryCall() -> call.respond(HttpStatusCode.TooManyRequests)
            else -> answer()
        }
    }

    private suspend fun list(call: ApplicationCall) {
        reads.incrementAndGet()
        val keys = keys(call.request.queryParameters["prefix"].orEmpty())
        call.respondText(JsonFormats.wire.encodeToString(ListSerializer(String.serializer()), keys))
    }

    private suspend fun read(call: ApplicationCall) {
        reads.incrementAndGet()
        val key = keyOf(call)
        val after = call.request.queryParameters["after"]?.toLong()
        if (after !=
            null
        ) {
            awaitChange(key, after, call.request.queryParameters["waitMs"]?.toLong() ?: 0)
        }
        val found = synchronized(objects) { objects[key] }
        when {
            after != null && (found?.version ?: 0) <= after -> call.respond(
                HttpStatusCode.NotModified
            )
            found == null -> call.respond(HttpStatusCode.NotFound)
            else -> respondVersioned(call, found)
        }
    }

    private suspend fun awaitChange(key: String, after: Long, waitMs: Long) {
        withTimeoutOrNull(waitMs) {
            changes.first { synchronized(objects) { (objects[key]?.version ?: 0) > after } }
        }
    }

    private suspend fun write(call: ApplicationCall) {
        val value = call.receiveText()
        val expected = call.request.header(HttpHeaders.IfMatch)?.trim('"')?.toLongOrNull()
        if (expected == null || value.length > MAX_VALUE_BYTES) {
            return call.respond(HttpStatusCode.BadRequest)
        }
        val stored = store(keyOf(call), value, expected)
        if (fault is StoreFault.LostWriteResponses) return call.respond(HttpStatusCode.GatewayTimeout)
        if (stored ==
            null
        ) {
            call.respond(HttpStatusCode.PreconditionFailed)
        } else {
            respondVersioned(call, stored)
        }
    }

    private fun store(key: String, value: String, expected: Long): Stored? = synchronized(objects) {
        val current = objects[key]?.version ?: 0
        if (current != expected) return null
        writes.incrementAndGet()
        Stored(value, current + 1).also {
            objects[key] = it
            changes.value += 1
        }
    }

    private suspend fun respondVersioned(call: ApplicationCall, stored: Stored) {
        call.response.header(HttpHeaders.ETag, "\"${stored.version}\"")
        call.respondText(stored.value)
    }

    private fun keyOf(call: ApplicationCall): String =
        call.parameters.getAll("key").orEmpty().joinToString("/")

    private class Stored(val value: String, val version: Long)

    private companion object {
        const val MAX_VALUE_BYTES = 1_000_000
    }
}

/** What goes wrong with the Object API. */
sealed class StoreFault {
    /** Nothing. */
    data object None : StoreFault()

    /** Every call is answered with 503. */
    data object Unavailable : StoreFault()

    /** Every call takes [delayMs] milliseconds longer. */
    data class Slow(val delayMs: Long) : StoreFault()

    /** Writes take effect, but their answers are lost. */
    data object LostWriteResponses : StoreFault()
}

private class CallRate(private val perSecond: Double) {
    private var balance = perSecond
    private var atNanos = System.nanoTime()

    @Synchronized
    fun tryCall(): Boolean {
        val nowNanos = System.nanoTime()
        balance = minOf(perSecond, balance + (nowNanos - atNanos) * perSecond / 1e9)
        atNanos = nowNanos
        if (balance < 1) return false
        balance -= 1
        return true
    }
}
