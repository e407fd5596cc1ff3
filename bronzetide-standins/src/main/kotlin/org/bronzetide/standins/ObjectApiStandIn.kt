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

/**
 * Simulates the platform's Object API: versioned objects, conditional writes, watches by long
 * polling, rate limits and injected faults.
 *
 * @param port the port to listen on; 0 picks a free one
 * @param writesPerSecond the rate limit of writes; calls beyond it get status 429
 * @param readsPerSecond the rate limit of reads, lists and watches; calls beyond it get status 429
 */
class ObjectApiStandIn(
    port: Int = 0,
    private val writesPerSecond: Double = 500.0,
    private val readsPerSecond: Double = 2_000.0
) : AutoCloseable {
    /** The fault that is injected into calls. */
    @Volatile
    var fault: StoreFault = StoreFault.None

    /** The number of reads and lists accepted so far, watches included. */
    val reads = AtomicLong()

    /** The number of writes that took effect. */
    val writes = AtomicLong()

    private val objects = TreeMap<String, Entry>()
    private val changes = MutableStateFlow(0L)
    private val readLimiter = RateLimiter(readsPerSecond)
    private val writeLimiter = RateLimiter(writesPerSecond)
    private val server = StandInServer(port) {
        get("/objects") { handle(call, readLimiter) { list(call) } }
        get("/objects/{key...}") { handle(call, readLimiter) { read(call) } }
        put("/objects/{key...}") { handle(call, writeLimiter) { write(call) } }
    }

    /** The base URL. */
    val url: String get() = server.url

    /** The stored value of [key], or null; subject to no fault and no rate limit. */
    fun storedValue(key: String): String? = synchronized(objects) { objects[key]?.value }

    /** The stored keys that start with [prefix]; subject to no fault and no rate limit. */
    fun keys(prefix: String): List<String> =
        synchronized(objects) { objects.keys.filter { it.startsWith(prefix) } }

    override fun close() = server.close()

    private suspend fun handle(call: ApplicationCall, rate: RateLimiter, next: suspend () -> Unit) {
        val activeFault = fault
        if (activeFault is StoreFault.Slow) delay(activeFault.delayMs)
        when {
            activeFault is StoreFault.Unavailable -> call.respond(HttpStatusCode.ServiceUnavailable)
            !rate.tryAcquire() -> call.respond(HttpStatusCode.TooManyRequests)
            else -> next()
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
        val afterVersion = call.request.queryParameters["after"]?.toLong()
        if (afterVersion != null) {
            awaitChange(key, afterVersion, call.request.queryParameters["waitMs"]?.toLong() ?: 0)
        }
        val found = synchronized(objects) { objects[key] }
        when {
            afterVersion != null && (found?.version ?: 0) <= afterVersion ->
                call.respond(HttpStatusCode.NotModified)

            found == null -> call.respond(HttpStatusCode.NotFound)
            else -> respondVersioned(call, found)
        }
    }

    private suspend fun awaitChange(key: String, afterVersion: Long, waitMs: Long) {
        withTimeoutOrNull(waitMs) {
            changes.first { synchronized(objects) { (objects[key]?.version ?: 0) > afterVersion } }
        }
    }

    private suspend fun write(call: ApplicationCall) {
        val value = call.receiveText()
        val expectedVersion = call.request.header(HttpHeaders.IfMatch)?.trim('"')?.toLongOrNull()
        if (expectedVersion == null || value.length > MAX_VALUE_BYTES) {
            return call.respond(HttpStatusCode.BadRequest)
        }
        val stored = store(keyOf(call), value, expectedVersion)
        if (fault is StoreFault.LostResponses) return call.respond(HttpStatusCode.GatewayTimeout)
        if (stored == null) {
            call.respond(HttpStatusCode.PreconditionFailed)
        } else {
            respondVersioned(call, stored)
        }
    }

    private fun store(key: String, value: String, expected: Long): Entry? = synchronized(objects) {
        val current = objects[key]?.version ?: 0
        if (current != expected) return null
        writes.incrementAndGet()
        Entry(value, current + 1).also {
            objects[key] = it
            changes.value += 1
        }
    }

    private suspend fun respondVersioned(call: ApplicationCall, stored: Entry) {
        call.response.header(HttpHeaders.ETag, "\"${stored.version}\"")
        call.respondText(stored.value)
    }

    private fun keyOf(call: ApplicationCall): String =
        call.parameters.getAll("key").orEmpty().joinToString("/")

    private class Entry(val value: String, val version: Long)

    private companion object {
        const val MAX_VALUE_BYTES = 1_000_000
    }
}

/** A fault that [ObjectApiStandIn] injects into calls. */
sealed class StoreFault {
    /** Calls are served normally. */
    data object None : StoreFault()

    /** Every call gets status 503. */
    data object Unavailable : StoreFault()

    /** Every call is delayed by [delayMs] milliseconds. */
    data class Slow(val delayMs: Long) : StoreFault()

    /** Writes take effect, but the client gets status 504 instead of their response. */
    data object LostResponses : StoreFault()
}

/** A token bucket that holds at most the calls of one second. */
private class RateLimiter(private val perSecond: Double) {
    private var available = perSecond
    private var refilledAtNanos = System.nanoTime()

    @Synchronized
    fun tryAcquire(): Boolean {
        val nowNanos = System.nanoTime()
        available = minOf(perSecond, available + (nowNanos - refilledAtNanos) * perSecond / 1e9)
        refilledAtNanos = nowNanos
        if (available < 1) return false
        available -= 1
        return true
    }
}
