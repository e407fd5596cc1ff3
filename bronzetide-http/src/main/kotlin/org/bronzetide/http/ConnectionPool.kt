package org.bronzetide.http

import java.io.IOException
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.MonotonicClock

/**
 * Keeps connections to HTTP servers for the next request.
 *
 * A connection that was idle for longer than the server keeps it, or on which something arrived
 * unasked, is closed instead of being used again.
 */
public class ConnectionPool(
    private val loop: TrafficLoop,
    private val clock: MonotonicClock,
    private val policy: Policy = Policy()
) : AutoCloseable {
    private val idle = ConcurrentHashMap<Endpoint, ArrayDeque<HttpConnection>>()
    private val opened = AtomicLong()

    /** The connections opened so far. */
    public val openedCount: Long get() = opened.get()

    /**
     * A connection to [host] and [port], an idle one where there is one.
     *
     * @throws IOException if none can be made in time; nothing was sent then.
     */
    public suspend fun acquire(host: String, port: Int): HttpConnection =
        takeIdle(Endpoint(host, port)) ?: open(host, port)

    /** Like [acquire], with an idle connection only if it was used a moment ago. */
    public suspend fun acquireFresh(host: String, port: Int): HttpConnection {
        val connection = takeIdle(Endpoint(host, port))
        val isFresh = connection != null &&
            clock.nowMs() - connection.idleSinceMs < policy.freshIdleMs
        if (connection != null && isFresh) return connection
        connection?.close()
        return open(host, port)
    }

    /** A new connection to [host] and [port]. */
    public suspend fun open(host: String, port: Int): HttpConnection {
        var socket: TcpSocket? = null
        var isReturned = false
        try {
            withTimeoutOrNull(policy.connectTimeoutMs) {
                socket = TcpSocket.connect(InetSocketAddress(host, port), loop)
            }
            val connected =
                socket ?: throw ConnectTimeoutException("no connection to $host:$port in time")
            opened.incrementAndGet()
            isReturned = true
            return HttpConnection(connected, clock.nowMs())
        } finally {
            // The caller may have been cancelled just when the connection was there.
            if (!isReturned) socket?.close()
        }
    }

    /** Takes back a connection whose last answer, [answer], was read to its end. */
    public fun release(
        host: String,
        port: Int,
        connection: HttpConnection,
        answer: IncomingResponse
    ) {
        val isKept = answer.body.isComplete &&
            answer.framing != Framing.UntilClose &&
            !answer.headers.hasToken("Connection", "close")
        if (!isKept) return connection.close()
        connection.idleSinceMs = clock.nowMs()
        connection.keepAliveMs = keepAliveMs(answer.headers)
        connection.isReused = true
        val queue = idle.computeIfAbsent(Endpoint(host, port)) { ArrayDeque() }
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

    private fun takeIdle(endpoint: Endpoint): HttpConnection? {
        val queue = idle[endpoint] ?: return null
        while (true) {
            val connection = synchronized(queue) { queue.removeLastOrNull() } ?: return null
            if (isUsable(connection)) return connection
            connection.close()
        }
    }

    private fun isUsable(connection: HttpConnection): Boolean =
        !isStale(connection) && connection.isIdleAndOpen

    private fun isStale(connection: HttpConnection): Boolean {
        val stated = connection.keepAliveMs?.let { it - policy.keepAliveMarginMs }
        val maxIdleMs = minOf(stated ?: policy.maxIdleMs, policy.maxIdleMs)
        return clock.nowMs() - connection.idleSinceMs >= maxIdleMs
    }

    private fun keepAliveMs(headers: HeaderList): Long? =
        headers["Keep-Alive"]?.split(',')?.firstNotNullOfOrNull { part ->
            part.trim().substringAfter("timeout=", "").toLongOrNull()?.let { it * MS_PER_S }
        }

    /** How long connections are kept and waited for. */
    public data class Policy(
        /** The time within which a connection must be made, in milliseconds. */
        val connectTimeoutMs: Long = 250,
        /** The longest time that an idle connection is kept, in milliseconds. */
        val maxIdleMs: Long = 4_000,
        /** The longest idle time of a connection that counts as just used, in milliseconds. */
        val freshIdleMs: Long = 300,
        /** How long before the server's own limit an idle connection is given up. */
        val keepAliveMarginMs: Long = 300,
        val maxIdlePerServer: Int = 16
    )

    private data class Endpoint(val host: String, val port: Int)

    private companion object {
        const val MS_PER_S = 1_000L
    }
}

/** No connection could be made; nothing was sent. */
public class ConnectTimeoutException(message: String) : IOException(message)
