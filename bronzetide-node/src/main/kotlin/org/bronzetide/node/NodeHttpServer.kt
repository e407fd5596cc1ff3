package org.bronzetide.node

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.install
import io.ktor.server.engine.EngineConnectorBuilder
import io.ktor.server.engine.embeddedServer
import io.ktor.server.engine.sslConnector
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import java.io.File
import java.security.KeyStore
import kotlinx.coroutines.runBlocking

/**
 * The HTTP server for callers and operators, with health and metrics endpoints.
 *
 * It serves TLS if the settings name a certificate, and plain HTTP otherwise.
 */
internal class NodeHttpServer(
    private val settings: Settings,
    private val isReady: () -> Boolean,
    private val scrapeMetrics: () -> String,
    private val routes: Route.() -> Unit
) : AutoCloseable {
    private val server =
        embeddedServer(Netty, configure = { configure() }) {
            install(HttpRequestLifecycle) { cancelCallOnClose = true }
            routing {
                get("/healthz") { call.respondText("ok\n") }
                get("/readyz") {
                    if (isReady()) {
                        call.respondText("ready\n")
                    } else {
                        call.respondText("not ready\n", status = HttpStatusCode.ServiceUnavailable)
                    }
                }
                get("/metrics") { call.respondText(scrapeMetrics()) }
                routes()
            }
        }

    /** Starts to listen and returns the port, which the system picks if the settings have 0. */
    fun start(): Int {
        server.start(wait = false)
        return runBlocking { server.engine.resolvedConnectors().first().port }
    }

    override fun close() = server.stop(gracePeriodMillis = 0, timeoutMillis = STOP_TIMEOUT_MS)

    private fun NettyApplicationEngine.Configuration.configure() {
        requestReadTimeoutSeconds = 0
        responseWriteTimeoutSeconds = RESPONSE_WRITE_TIMEOUT_S
        maxHeaderSize = MAX_HEADER_BYTES
        if (settings.httpThreads > 0) {
            connectionGroupSize = 1
            workerGroupSize = settings.httpThreads
            callGroupSize = settings.httpThreads
        }
        val tls = settings.tls
        if (tls == null) {
            connectors += EngineConnectorBuilder().apply {
                host = settings.host
                port = settings.port
            }
        } else {
            addTlsConnector(tls)
        }
    }

    private fun NettyApplicationEngine.Configuration.addTlsConnector(tls: TlsSettings) {
        val password = File(tls.passwordFile).readText().trim().toCharArray()
        val keyStore = KeyStore.getInstance("PKCS12")
        File(tls.keyStoreFile).inputStream().use { keyStore.load(it, password) }
        sslConnector(keyStore, keyStore.aliases().nextElement(), { password }, { password }) {
            host = settings.host
            port = settings.port
        }
    }

    private companion object {
        const val MAX_HEADER_BYTES = 16_384
        const val RESPONSE_WRITE_TIMEOUT_S = 30
        const val STOP_TIMEOUT_MS = 500L
    }
}
