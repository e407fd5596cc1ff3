package org.bronzetide.edge.peer

import java.io.IOException
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.http.ConnectionPool
import org.bronzetide.http.Header
import org.bronzetide.http.OutgoingRequest
import org.bronzetide.platform.fleet.StoredObject
import org.bronzetide.platform.fleet.StoredObjectCodec

/** Fetches the objects that a peer last read from the store, for a host that cannot reach it. */
internal class PeerStateClient(private val pool: ConnectionPool, private val controlPort: Int) {
    /** Returns the objects at [path] of the peer at [ip], or `null` without a valid response. */
    suspend fun fetch(ip: String, path: String): List<StoredObject>? = try {
        withTimeoutOrNull(TIMEOUT_MS) { exchange(ip, path) }
    } catch (_: IOException) {
        // The peer may be down; the next one is asked.
        null
    }

    private suspend fun exchange(ip: String, path: String): List<StoredObject>? {
        val connection = pool.acquire(ip, controlPort)
        var isReleased = false
        try {
            val host = Header("Host", "$ip:$controlPort")
            connection.send(OutgoingRequest("GET", path, listOf(host)))
            val response = connection.receive()
            val body = response.body.readAll(MAX_BYTES).decodeToString()
            pool.release(ip, controlPort, connection, response)
            isReleased = true
            return if (response.status == OK) StoredObjectCodec.decodeList(body) else null
        } finally {
            if (!isReleased) connection.close()
        }
    }

    internal companion object {
        const val MANIFEST_PATH = "/beliefs/manifest"
        const val TARGETS_PATH = "/beliefs/targets"
        private const val OK = 200
        private const val TIMEOUT_MS = 1_000L
        private const val MAX_BYTES = 8_388_608
    }
}
