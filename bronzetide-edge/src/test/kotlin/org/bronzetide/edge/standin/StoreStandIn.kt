package org.bronzetide.edge.standin

import java.util.TreeMap
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonUnquotedLiteral
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.IncomingRequest

/** A stand-in for the platform's store with lists, watches, outages and compaction. */
class StoreStandIn : AutoCloseable {
    private class Entry(val revision: Long, val body: JsonElement?)

    private val kinds = HashMap<String, TreeMap<String, Entry>>()
    private var revision = 10L
    private var oldestRevision = 0L

    /** Whether calls get a response with status 503. */
    @Volatile
    var isUnavailable = false

    /** Whether calls get no response. Calls that start meanwhile never get one. */
    @Volatile
    var isUnresponsive = false

    /** The most objects in one page of a listing. */
    @Volatile
    var pageSize = Int.MAX_VALUE

    /** Called after each page of a listing but the last. */
    @Volatile
    var onPage: () -> Unit = {}

    @Volatile
    var callCount = 0

    /** The number of calls for manifests so far. */
    @Volatile
    var manifestCallCount = 0

    private val server = StandInServer { request, _, connection -> respond(request, connection) }
    val port: Int get() = server.port

    /** Writes an object as its owner does. [body] is sent as it is written. */
    @Synchronized
    fun write(kind: String, name: String, body: String) {
        kinds.getOrPut(kind) { TreeMap() }[name] =
            Entry(++revision, JsonUnquotedLiteral(body))
    }

    /** Writes what [edit] makes of an object's body. */
    @Synchronized
    fun edit(kind: String, name: String, edit: (String) -> String) =
        write(kind, name, edit(kinds.getValue(kind).getValue(name).body.toString()))

    @Synchronized
    fun remove(kind: String, name: String) {
        kinds.getOrPut(kind) { TreeMap() }[name] = Entry(++revision, null)
    }

    /** Discards the history so far, so that older watches fail. */
    @Synchronized
    fun compact() {
        oldestRevision = revision
        kinds.values.forEach { entries -> entries.values.removeIf { it.body == null } }
    }

    override fun close() = server.close()

    private suspend fun respond(request: IncomingRequest, connection: CallerConnection): Boolean {
        callCount++
        if (isUnavailable) return send(connection, 503, "")
        val kind = request.path.removePrefix("/objects/").substringBefore('/')
        if (kind == "config") manifestCallCount++
        if (isUnresponsive) awaitCancellation()
        val query = request.requestTarget.substringAfter('?', "").split('&')
            .associate { it.substringBefore('=') to it.substringAfter('=') }
        val watch = query["watch"]?.toLong()
            ?: return send(connection, 200, listing(kind, query["since_rev"].orEmpty()))
        val endsAt = System.nanoTime() + query.getValue("wait_ms").toLong() * 1_000_000
        while (true) {
            if (isUnavailable) return send(connection, 503, "")
            if (isUnresponsive) awaitCancellation()
            if (watch < oldestRevision) return send(connection, 410, "")
            val events = events(kind, watch)
            if (events != null || System.nanoTime() > endsAt) {
                return send(connection, 200, events ?: noEvents())
            }
            delay(5)
        }
    }

    private suspend fun send(connection: CallerConnection, status: Int, body: String): Boolean {
        connection.send(status, emptyList(), body.encodeToByteArray())
        return true
    }

    @Synchronized
    private fun listing(kind: String, afterName: String): String {
        val left = kinds[kind].orEmpty().filter { it.value.body != null && it.key > afterName }
        val page = buildJsonObject {
            putJsonArray("items") {
                left.entries.take(pageSize).forEach { (name, entry) -> add(stored(name, entry)) }
            }
            put("more", left.size > pageSize)
            put("current_rev", revision)
        }
        if (left.size > pageSize) onPage()
        return page.toString()
    }

    @Synchronized
    private fun events(kind: String, after: Long): String? {
        val changes = kinds[kind].orEmpty().filterValues { it.revision > after }
        if (changes.isEmpty()) return null
        return buildJsonObject {
            putJsonArray("events") {
                changes.forEach { (name, entry) ->
                    add(
                        buildJsonObject {
                            put("tombstone", entry.body == null)
                            put("object", stored(name, entry))
                        }
                    )
                }
            }
            put("current_rev", revision)
        }.toString()
    }

    @Synchronized
    private fun noEvents(): String = """{"events":[],"current_rev":$revision}"""

    private fun stored(name: String, entry: Entry) = buildJsonObject {
        putJsonObject("metadata") {
            put("name", name)
            put("revision", entry.revision)
        }
        entry.body?.let { put("spec", it) }
    }
}
