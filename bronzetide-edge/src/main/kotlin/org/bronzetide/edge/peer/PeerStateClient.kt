package org.bronzetide.edge.peer

import java.io.IOException
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.http.ConnectionPool
import org.bronzetide.http.Header
import org.bronzetide.http.OutgoingRequest
import org.bronzetide.platform.fleet.StoredObject
import org.bronzetide.platform.fleet.StoredObjectCodec

/** Fetches from a peer what it has last read from the store, for a host that cannot read it. */
internal class PeerStateClient(private val pool: ConnectionPool, private val controlPort: Int) {
    /** The objects of the kind that [path] stands for, as the peer at [ip] knows them. */
    suspend fun fetch(ip: String, path: String): List<StoredObject>? = try {
        withTimeoutOrNull(TIMEOUT_MS) { exchange(ip, path) }
    } catch (_: IOException) {
        // The peer may be gone; the caller asks another one.
        null
    }

    private suspend fun exchange(ip: String, path: String): List<StoredObject>? {
        val connection = pool.acquire(ip, controlPort)
        var isKept = false
        try {
            val host = Header("Host", "$ip:$controlPort")
            connection.send(OutgoingRequest("GET", path, listOf(host)))
            val answer = connection.receive()
            val body = answer.body.readAll(MAX_BYTES).decodeToString()
            pool.release(ip, controlPort, connection, answer)
            isKept = true
            return if (answer.status == OK) StoredObjectCodec.decodeList(body) else null
        } finally {
            if (!isKept) connection.close()
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
