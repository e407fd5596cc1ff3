package org.bronzetide.edge.soak

import java.util.Collections
import java.util.WeakHashMap
import kotlin.random.Random
import kotlinx.coroutines.delay
import org.bronzetide.edge.standin.StandInServer
import org.bronzetide.edge.standin.StoreStandIn
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.Header
import org.bronzetide.http.IncomingRequest

/** A target behind a [FaultProxy] that fails a random share of its requests. */
class SoakTarget(
    val id: String,
    private val service: String,
    private val checker: SoakChecker,
    private val store: StoreStandIn,
    private val random: Random
) : AutoCloseable {
    /**
     * The share of requests that are refused, truncated, or preceded or followed by a response that
     * belongs to no request.
     */
    @Volatile
    var failureRate = 0.0

    /** The requests a second that the target says it takes, and what it gets meanwhile. */
    val limit = SoakLimit(id, checker)
    private val usedConnections: MutableSet<CallerConnection> =
        Collections.newSetFromMap(WeakHashMap<CallerConnection, Boolean>()).let {
            Collections.synchronizedSet(it)
        }
    private val server = StandInServer { request, _, connection -> respond(request, connection) }
    val proxy = FaultProxy(server.port)

    /** Writes the registration of the target with [state] to the store. */
    fun register(state: String) = store.write(
        "servers",
        id,
        """{"service":"$service","address":"127.0.0.1:${proxy.port}","zone":"z1","slots":8,
            "state":"$state","version":"v1"}"""
    )

    override fun close() {
        proxy.close()
        server.close()
    }

    private suspend fun respond(request: IncomingRequest, connection: CallerConnection): Boolean {
        val requestId = request.headers["Request-Id"].orEmpty()
        val echo = listOf(Header("Request-Id", requestId)) + limit.headers()
        if (request.headers["Expect-Replica"] != id) {
            connection.send(421, echo, ByteArray(0))
            return true
        }
        limit.onArrival()
        val isFaulty = random.nextDouble() < failureRate
        if (isFaulty && random.nextInt(4) == 0) {
            connection.send(503, echo + NOT_EXECUTED, ByteArray(0))
            return true
        }
        // A late refusal without an id; the first request of a connection cannot get one.
        val isUsed = !usedConnections.add(connection)
        if (isFaulty && isUsed) connection.send(503, listOf(NOT_EXECUTED), ByteArray(0))
        val forged = request.headers.filter { it.value == "forged" }.map { it.name }
        checker.onExecution(requestId, request.headers["Tenant"], forged)
        val headers = echo + Header("Response-Signature", "of $id")
        return if (service == "model") {
            respondWithStream(request, requestId, headers, connection, isFaulty)
        } else {
            delay(random.nextLong(5, 30))
            if (isFaulty && random.nextBoolean()) return false
            val body = checker.expectedBody(requestId).encodeToByteArray()
            connection.send(200, headers, body)
            if (isFaulty) connection.send(200, headers, "a late second answer".encodeToByteArray())
            true
        }
    }

    private suspend fun respondWithStream(
        request: IncomingRequest,
        requestId: String,
        headers: List<Header>,
        connection: CallerConnection,
        isFaulty: Boolean
    ): Boolean {
        val from = request.headers["Last-Event-Id"]?.toInt() ?: 0
        val truncateAfter = if (isFaulty) {
            from + random.nextInt(SoakChecker.EVENTS_PER_STREAM)
        } else {
            Int.MAX_VALUE
        }
        connection.startResponse(200, headers)
        for (number in from + 1..SoakChecker.EVENTS_PER_STREAM) {
            delay(random.nextLong(5, 20))
            val bytes = checker.eventText(requestId, number).encodeToByteArray()
            if (number > truncateAfter) {
                connection.sendChunk(bytes.copyOf(bytes.size / 2))
                return false
            }
            connection.sendChunk(bytes)
        }
        connection.finishResponse()
        return true
    }

    private companion object {
        val NOT_EXECUTED = Header("Not-Executed", "1")
    }
}
