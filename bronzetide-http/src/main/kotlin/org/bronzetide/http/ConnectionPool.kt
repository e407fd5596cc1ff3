package org.bronzetide.http

import java.io.IOException
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.MonotonicClock

/**
 * Pools connections to HTTP servers for reuse.
 *
 * An idle connection is closed instead of reused if the server may close it soon, or if unexpected
 * input has arrived on it.
 */
public class ConnectionPool(
    private val loop: TrafficLoop,
    private val clock: MonotonicClock,
    private val policy: Policy = Policy()
) : AutoCloseable {
    private val idle = ConcurrentHashMap<Endpoint, ArrayDeque<HttpConnection>>()
    private val opened = AtomicLong()

    /** The number of connections opened so far. */
    public val openedCount: Long get() = opened.get()

    /**
     * Returns a connection to [host] and [port], an idle one if there is one.
     *
     * If a [requestId] is given, the connection has not carried a request with that id before, so
     * that no response on it can belong to an earlier send of the same request.
     *
     * @throws IOException if connecting fails or takes too long; nothing was sent then.
     */
    public suspend fun acquire(host: String, port: Int, requestId: String? = null): HttpConnection =
        (takeIdle(Endpoint(host, port), requestId) ?: open(host, port)).carrying(requestId)

    /** Like [acquire], but reuses only connections idle for less than [Policy.freshIdleMs]. */
    public suspend fun acquireFresh(
        host: String,
        port: Int,
        requestId: String? = null
    ): HttpConnection {
        val idle = takeIdle(Endpoint(host, port), requestId)
        val isFresh = idle != null && clock.nowMs() - idle.idleSinceMs < policy.freshIdleMs
        if (idle != null && !isFresh) idle.close()
        val connection = if (idle != null && isFresh) idle else open(host, port)
        return connection.carrying(requestId)
    }

    private fun HttpConnection.carrying(requestId: String?): HttpConnection {
        requestId?.let(carriedRequests::add)
        return this
    }

    /**
     * Opens a new connection to [host] and [port].
     *
     * @throws IOException if connecting fails or takes too long.
     */
    public suspend fun open(host: String, port: Int): HttpConnection {
        var socket: TcpSocket? = null
        var isReturned = false
        try {
            withTimeoutOrNull(policy.connectTimeoutMs) {
                val address = InetSocketAddress(host, port)
                socket = TcpSocket.connect(address, loop, policy.isProbed)
            }
            val connected =
                socket ?: throw ConnectTimeoutException("connecting to $host:$port timed out")
            opened.incrementAndGet()
            isReturned = true
            return HttpConnection(connected, clock.nowMs())
        } finally {
            // The coroutine may be cancelled just after the connection was established.
            if (!isReturned) socket?.close()
        }
    }

    /**
     * Opens a new connection to [host] and [port] for a later request.
     *
     * @throws IOException if connecting fails or takes too long.
     */
    public suspend fun openIdle(host: String, port: Int) {
        addIdle(Endpoint(host, port), open(host, port))
    }

    /** Takes back a connection; closes it if [response] does not allow another request on it. */
    public fun release(
        host: String,
        port: Int,
        connection: HttpConnection,
        response: IncomingResponse
    ) {
        val isKept = response.body.isComplete &&
            response.framing != Framing.UntilClose &&
            !connection.carriedRequests.isFull &&
            !response.headers.hasToken("Connection", "close")
        if (!isKept) return connection.close()
        connection.idleSinceMs = clock.nowMs()
        connection.keepAliveMs = keepAliveMs(response.headers)
        connection.isReused = true
        addIdle(Endpoint(host, port), connection)
    }

    private fun addIdle(endpoint: Endpoint, connection: HttpConnection) {
        val queue = idle.computeIfAbsent(endpoint) { ArrayDeque() }
        val surplus = synchronized(queue) {
            queue.addLast(connection)
            if (queue.size > policy.maxIdlePerServer) queue.removeFirst() else null
        }
        surplus?.close()
    }

    /** Closes the idle connections to [host] and [port]. */
    public fun evict(host: String, port: Int) {
        idle.remove(Endpoint(host, port))?.let { queue ->
            synchronized(queue) { queue.toList() }.forEach { it.close() }
        }
    }

    /** Closes the connections that have been idle for too long. */
    public fun evictStale() {
        idle.values.forEach { queue ->
            val stale = synchronized(queue) {
                queue.filter(::isStale).also { queue.removeAll(it.toSet()) }
            }
            stale.forEach { it.close() }
        }
    }

    override fun close() {
        idle.keys.toList().forEach { evict(it.host, it.port) }
    }

    private fun takeIdle(endpoint: Endpoint, requestId: String?): HttpConnection? {
        val queue = idle[endpoint] ?: return null
        while (true) {
            val connection = synchronized(queue) {
                val index = queue.indexOfLast {
                    requestId == null || requestId !in it.carriedRequests
                }
                if (index < 0) null else queue.removeAt(index)
            } ?: return null
            if (isUsable(connection)) return connection
            connection.close()
        }
    }

    private fun isUsable(connection: HttpConnection): Boolean =
        !isStale(connection) && connection.isIdleAndOpen

    private fun isStale(connection: HttpConnection): Boolean {
        val serverLimitMs = connection.keepAliveMs?.let { it - policy.keepAliveMarginMs }
        val maxIdleMs = minOf(serverLimitMs ?: policy.maxIdleMs, policy.maxIdleMs)
        return clock.nowMs() - connection.idleSinceMs >= maxIdleMs
    }

    private fun keepAliveMs(headers: HeaderList): Long? =
        headers["Keep-Alive"]?.split(',')?.firstNotNullOfOrNull { part ->
            part.trim().substringAfter("timeout=", "").toLongOrNull()?.let { it * MS_PER_S }
        }

    /** The pool's timeouts and limits. */
    public data class Policy(
        /** The timeout of connecting, in milliseconds. */
        val connectTimeoutMs: Long = 250,
        /** How long an idle connection is kept at most, in milliseconds. */
        val maxIdleMs: Long = 4_000,
        /** The idle time below which [acquireFresh] reuses a connection, in milliseconds. */
        val freshIdleMs: Long = 300,
        /** How long before the server's keep-alive limit reuse ends, in milliseconds. */
        val keepAliveMarginMs: Long = 300,
        val maxIdlePerServer: Int = 16,
        /** Whether a silent server is noticed within [SILENCE_TIMEOUT_MS] on every connection. */
        val isProbed: Boolean = false
    )

    private data class Endpoint(val host: String, val port: Int)

    public companion object {
        /** The time after which a probed connection to a silent server breaks, in milliseconds. */
        public const val SILENCE_TIMEOUT_MS: Long = TcpSocket.SILENCE_TIMEOUT_MS
        private const val MS_PER_S = 1_000L
    }
}

/** Connecting took too long; no request was sent. */
public class ConnectTimeoutException(message: String) : IOException(message)
