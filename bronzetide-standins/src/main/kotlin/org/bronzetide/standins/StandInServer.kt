package org.bronzetide.standins

import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.Routing
import io.ktor.server.routing.routing
import kotlinx.coroutines.runBlocking

/**
 * An HTTP server on the loopback address that simulates an external system.
 *
 * @param port the port to listen on; 0 picks a free one
 * @param routes the routes that the server handles
 */
class StandInServer(port: Int = 0, routes: Routing.() -> Unit) : AutoCloseable {
    private val server: EmbeddedServer<*, *> = embeddedServer(CIO, port = port, host = HOST) {
        routing { routes() }
    }.start(wait = false)

    /** The port that the server listens on. */
    val port: Int = runBlocking { server.engine.resolvedConnectors().first().port }

    /** The server's base URL. */
    val url: String get() = "http://$HOST:$port"

    override fun close() {
        server.stop(gracePeriodMillis = 0, timeoutMillis = STOP_TIMEOUT_MS)
    }

    companion object {
        /** The loopback address that stand-ins listen on. */
        const val HOST: String = "127.0.0.1"
        private const val STOP_TIMEOUT_MS = 200L
    }
}
