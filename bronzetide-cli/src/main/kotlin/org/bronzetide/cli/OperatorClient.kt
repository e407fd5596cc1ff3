package org.bronzetide.cli

import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import kotlinx.serialization.KSerializer
import org.bronzetide.model.Configuration
import org.bronzetide.model.JsonFormats
import org.bronzetide.model.Plan
import org.bronzetide.model.ValidationError
import org.bronzetide.node.ledger.Invoice
import org.bronzetide.node.operator.ClusterStatus
import org.bronzetide.node.operator.ConfirmResponse
import org.bronzetide.node.operator.PlanResponse

/**
 * A client of the operator API of the node at [baseUrl], which authenticates with the bearer [key].
 * All calls throw [OperatorRequestException] if the node rejects them or responds with something
 * unexpected, and [java.io.IOException] if it cannot be reached or does not respond within 30 s.
 */
class OperatorClient(
    private val http: HttpClient,
    private val baseUrl: String,
    private val key: String
) {
    /** Requests the plan for the intent in [text], which is JSON with comments. */
    suspend fun plan(text: String): PlanResponse = post("plan", text, PlanResponse.serializer())

    /** Confirms [plan]; confirming a plan again is safe. */
    suspend fun confirm(plan: Plan): ConfirmResponse {
        val text = JsonFormats.wire.encodeToString(Plan.serializer(), plan)
        return post("confirm", text, ConfirmResponse.serializer())
    }

    /** Returns the configuration in force. */
    suspend fun configuration(): Configuration = get("configuration", Configuration.serializer())

    /** Returns the status of all nodes. */
    suspend fun status(): ClusterStatus = get("status", ClusterStatus.serializer())

    /** Returns the invoice of [caller]. */
    suspend fun invoice(caller: String): Invoice = get("invoices/$caller", Invoice.serializer())

    private suspend fun <T> get(path: String, serializer: KSerializer<T>): T =
        read(http.get("$baseUrl/operator/v1/$path") { configureRequest() }, serializer)

    private suspend fun <T> post(path: String, text: String, serializer: KSerializer<T>): T = read(
        http.post("$baseUrl/operator/v1/$path") {
            configureRequest()
            setBody(text)
        },
        serializer
    )

    private fun io.ktor.client.request.HttpRequestBuilder.configureRequest() {
        bearerAuth(key)
        timeout { requestTimeoutMillis = REQUEST_TIMEOUT_MS }
    }

    private suspend fun <T> read(response: HttpResponse, serializer: KSerializer<T>): T {
        val text = response.bodyAsText()
        if (response.status.value in REJECTED) throw OperatorRequestException(errorsIn(text))
        return try {
            JsonFormats.wire.decodeFromString(serializer, text)
        } catch (_: kotlinx.serialization.SerializationException) {
            throw OperatorRequestException(errorsIn(text).ifEmpty { listOf(unexpected(response)) })
        }
    }

    private fun unexpected(response: HttpResponse) = ValidationError(
        baseUrl,
        "unexpected response body with status ${response.status.value}"
    )

    private fun errorsIn(text: String): List<ValidationError> =
        runCatching { JsonFormats.wire.decodeFromString(PlanResponse.serializer(), text).faults }
            .getOrDefault(emptyList())

    private companion object {
        const val REQUEST_TIMEOUT_MS = 30_000L
        val REJECTED = setOf(400, 401, 403)
    }
}

/** Thrown when a node rejects an operator's call because of [errors], or a plan cannot be read. */
class OperatorRequestException(val errors: List<ValidationError>) :
    Exception(errors.joinToString("\n") { "${it.path}: ${it.message}" }.ifEmpty { "refused" })
