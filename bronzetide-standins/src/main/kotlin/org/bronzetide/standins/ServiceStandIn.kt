package org.bronzetide.standins

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.route
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.delay

/**
 * Simulates a plain HTTP service that counts each call and responds to it after a delay.
 *
 * @param responseDelayMs the delay of responses in milliseconds
 * @param port the port to listen on; 0 picks a free one
 */
class ServiceStandIn(private val responseDelayMs: Long = 2, port: Int = 0) : AutoCloseable {
    private val server = StandInServer(port) {
        route("{path...}") { handle { respond(call) } }
    }

    /** The number of times that each request was received, by request id. */
    val requestCounts = ConcurrentHashMap<String, Int>()

    /** The number of executions of each body; a command is identified by its body. */
    val executionCounts = ConcurrentHashMap<String, Int>()

    /** The base URL. */
    val url: String get() = server.url

    /** The port that the service listens on. */
    val port: Int get() = server.port

    override fun close() = server.close()

    private suspend fun respond(call: ApplicationCall) {
        val body = call.receiveText()
        requestCounts.merge(call.request.header("X-Request-Id").orEmpty(), 1, Int::plus)
        if (body.isNotEmpty()) executionCounts.merge(body, 1, Int::plus)
        delay(responseDelayMs)
        val text = """{"done":"${call.request.httpMethod.value} ${call.request.path()}"}"""
        call.respondText(text, io.ktor.http.ContentType.Application.Json, HttpStatusCode.OK)
    }
}
