package org.bronzetide.node.operator

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.bronzetide.model.CallerId
import org.bronzetide.model.Configuration
import org.bronzetide.model.JsonFormats
import org.bronzetide.model.Plan
import org.bronzetide.model.ValidationError
import org.bronzetide.node.entry.BodyReader
import org.bronzetide.node.entry.KeyDigest
import org.bronzetide.node.ledger.Invoice
import org.bronzetide.node.ledger.InvoiceService

/** The HTTP interface for operators, under `/operator/v1`. */
internal class OperatorRoutes(
    private val keyDigests: List<String>,
    private val bodyReader: BodyReader,
    private val configurations: ConfigurationService,
    private val currentConfiguration: () -> Configuration,
    private val status: StatusService,
    private val invoices: InvoiceService
) {
    fun install(routes: Route) {
        routes.post("/operator/v1/plan") { authorized(call) { plan(call) } }
        routes.post("/operator/v1/confirm") { authorized(call) { confirm(call) } }
        routes.get("/operator/v1/configuration") {
            authorized(call) { call.respond(Configuration.serializer(), currentConfiguration()) }
        }
        routes.get("/operator/v1/status") {
            authorized(call) { call.respond(ClusterStatus.serializer(), status.cluster()) }
        }
        routes.get("/operator/v1/invoices/{caller}") { authorized(call) { invoice(call) } }
    }

    private suspend fun authorized(call: ApplicationCall, block: suspend () -> Unit) {
        val bearer = call.request.header(HttpHeaders.Authorization).orEmpty()
        val digest = KeyDigest.of(bearer.removePrefix("Bearer "))
        if (keyDigests.count { KeyDigest.matches(it, digest) } > 0) return block()
        call.respondError(
            HttpStatusCode.Unauthorized,
            ValidationError("Authorization", "is not an operator's key")
        )
    }

    private suspend fun plan(call: ApplicationCall) {
        val text = readText(call) ?: return
        val response = configurations.plan(text)
        val status = if (response.plan == null) {
            HttpStatusCode.UnprocessableEntity
        } else {
            HttpStatusCode.OK
        }
        call.respond(PlanResponse.serializer(), response, status)
    }

    private suspend fun confirm(call: ApplicationCall) {
        val text = readText(call) ?: return
        val plan = try {
            JsonFormats.wire.decodeFromString(Plan.serializer(), text)
        } catch (cause: SerializationException) {
            val message = cause.message.orEmpty().lineSequence().first()
            return call.respondError(HttpStatusCode.BadRequest, ValidationError("plan", message))
        }
        val response = configurations.confirm(plan)
        call.respond(ConfirmResponse.serializer(), response, statusOf(response))
    }

    private fun statusOf(response: ConfirmResponse): HttpStatusCode = when (response.result) {
        "confirmed", "already-done" -> HttpStatusCode.OK
        "conflict" -> HttpStatusCode.Conflict
        "invalid" -> HttpStatusCode.UnprocessableEntity
        else -> HttpStatusCode.ServiceUnavailable
    }

    private suspend fun invoice(call: ApplicationCall) {
        val invoice = invoices.invoiceFor(CallerId(call.parameters["caller"].orEmpty()))
        if (invoice == null) {
            val error = ValidationError("invoice", "the platform's store does not answer")
            return call.respondError(HttpStatusCode.ServiceUnavailable, error)
        }
        call.respond(Invoice.serializer(), invoice)
    }

    private suspend fun readText(call: ApplicationCall): String? {
        val body = bodyReader.read(call)
        if (body is BodyReader.BodyResult.Text) return body.text
        call.respondError(
            HttpStatusCode.BadRequest,
            ValidationError("body", "is too large, too slow or not UTF-8")
        )
        return null
    }

    private suspend fun ApplicationCall.respondError(
        status: HttpStatusCode,
        error: ValidationError
    ) = respond(PlanResponse.serializer(), PlanResponse(faults = listOf(error)), status)

    private suspend fun <T> ApplicationCall.respond(
        serializer: KSerializer<T>,
        value: T,
        status: HttpStatusCode = HttpStatusCode.OK
    ) = respondText(
        JsonFormats.wire.encodeToString(serializer, value),
        ContentType.Application.Json,
        status
    )
}
