package org.bronzetide.edge

import java.io.File
import java.io.IOException
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.entry.ConnectionAcceptor
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.ConnectionPool
import org.bronzetide.http.Header
import org.bronzetide.http.TrafficLoop
import org.bronzetide.platform.fleet.SampleDocuments
import org.bronzetide.platform.fleet.SocketAddress

/**
 * Starts two processes' components against a synthetic store and target on loopback, and sends
 * requests through one of them, so that the build can archive the classes of a start.
 *
 * A class that is not in the archive is read from a jar and verified, which takes a large part of
 * the processor time of a start.
 */
internal class StartRehearsal(private val traffic: TrafficLoop) {
    private val clock = MonotonicClock.System
    private val log = DecisionLog(clock)

    /** Runs the rehearsal, with ports from [firstPort] on. */
    suspend fun run(firstPort: Int) = try {
        rehearse(firstPort)
    } catch (cause: IOException) {
        // The archive is smaller then, and starts take longer.
        log.failure("rehearsal of a start failed", cause, "firstPort" to firstPort)
    }

    private suspend fun rehearse(firstPort: Int) = coroutineScope {
        val store = SocketAddress(LOOPBACK, firstPort)
        val target = SocketAddress(LOOPBACK, firstPort + 1)
        val acceptors = listOf(
            ConnectionAcceptor(traffic, store, log) { serveAsStore(CallerConnection(it), target) },
            ConnectionAcceptor(traffic, target, log) { SyntheticTarget.serve(CallerConnection(it)) }
        )
        acceptors.forEach { it.start(this) }
        val nodes = listOf(LOOPBACK, OTHER_LOOPBACK).mapIndexed { index, ip ->
            val text = SampleDocuments.settings("rehearsal-$index", ip, firstPort + 2, store)
            createNode(text)
        }
        try {
            // A node would wait for as long as an address is in use.
            withTimeoutOrNull(START_TIMEOUT_MS) { nodes.forEach { it.start() } }
                ?: throw IOException("addresses not bound within $START_TIMEOUT_MS ms")
            withTimeoutOrNull(READY_TIMEOUT_MS) {
                while (nodes.any { !it.isReady }) delay(POLL_MS)
            }
            ConnectionPool(traffic, clock).use { pool ->
                val port = firstPort + 2
                val caller =
                    SyntheticCaller(pool, port, SampleDocuments.HOST, SampleDocuments.API_KEY)
                repeat(REQUESTS) { caller.send(SyntheticTarget.STREAM_PATH, TIMEOUT_MS) }
            }
            delay(EXCHANGE_MS)
        } finally {
            nodes.forEach { it.close() }
            acceptors.forEach { it.close() }
            coroutineContext.cancelChildren()
        }
    }

    /** Creates a node whose settings file is deleted after the start, a change that it notices. */
    private fun createNode(text: String): EdgeNode {
        val written = File.createTempFile("rehearsal", ".settings")
        try {
            written.writeText(text)
            val file = SettingsFile(written.path)
            val settings = checkNotNull(reportErrors(file.awaitValid())) { "invalid sample" }
            return EdgeNode(settings).also { it.settingsFile = file }
        } finally {
            written.delete()
        }
    }

    private suspend fun serveAsStore(connection: CallerConnection, target: SocketAddress) {
        while (true) {
            val request = connection.receive() ?: return
            if (SampleDocuments.isWatch(request.requestTarget)) delay(WATCH_MS)
            val body = SampleDocuments.storeResponse(request.requestTarget, target)
            val type = Header("Content-Type", "application/json")
            connection.send(OK, listOf(type), body.encodeToByteArray())
        }
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val OTHER_LOOPBACK = "127.0.0.2"
        const val OK = 200
        const val START_TIMEOUT_MS = 4_000L
        const val READY_TIMEOUT_MS = 4_000L
        const val POLL_MS = 20L
        const val REQUESTS = 10
        const val TIMEOUT_MS = 5_000L
        const val WATCH_MS = 300L

        /** Long enough for the hosts to find each other and to exchange their loads. */
        const val EXCHANGE_MS = 2_000L
    }
}
