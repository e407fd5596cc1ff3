package org.bronzetide.node.entry

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.bronzetide.coordination.RefusalReason
import org.bronzetide.coordination.StoredResponse
import org.bronzetide.coordination.Verdict
import org.bronzetide.model.RequestId

private const val CLIENT_CLOSED_REQUEST = 499

/** The HTTP status code of a refusal for this reason. */
internal val RefusalReason.status: HttpStatusCode
    get() = when (this) {
        RefusalReason.INVALID -> HttpStatusCode.BadRequest

        RefusalReason.UNAUTHENTICATED -> HttpStatusCode.Unauthorized

        RefusalReason.FORBIDDEN -> HttpStatusCode.Forbidden

        RefusalReason.UNKNOWN_POOL -> HttpStatusCode.NotFound

        RefusalReason.OVER_LIMIT -> HttpStatusCode.TooManyRequests

        RefusalReason.DEADLINE -> HttpStatusCode.GatewayTimeout

        RefusalReason.KEY_REUSED -> HttpStatusCode.Conflict

        RefusalReason.CANCELLED -> HttpStatusCode(CLIENT_CLOSED_REQUEST, "Client Closed Request")

        RefusalReason.SHED, RefusalReason.NO_TARGET, RefusalReason.UNAVAILABLE,
        RefusalReason.KEY_AUTHORITY
        -> HttpStatusCode.ServiceUnavailable
    }

/** Sets the headers of every response: request id, verdict, and the reason if there is one. */
internal fun ApplicationCall.setVerdictHeaders(id: RequestId, verdict: Verdict) {
    response.header(HeaderNames.REQUEST_ID, id.value)
    response.header(HeaderNames.VERDICT, verdict.label)
    if (verdict.explanation.isNotEmpty()) response.header(HeaderNames.REASON, verdict.explanation)
}

/** Responds to a request that ended with [outcome] and was not streamed. */
internal suspend fun ApplicationCall.respondOutcome(id: RequestId, outcome: RequestOutcome) {
    val stored = outcome.response
    if (stored != null) return respondStored(id, outcome, stored)
    when (val verdict = outcome.verdict) {
        is Verdict.NotRun ->
            respondRefusal(id, verdict.reason, outcome.message, outcome.retryAfterMs)

        is Verdict.MayHaveRun -> {
            val conflict = HttpStatusCode.Conflict.takeIf { outcome.isInProgress }
            respondError(id, conflict ?: HttpStatusCode.BadGateway, verdict, verdict.detail)
        }

        is Verdict.Ran -> respondError(
            id,
            HttpStatusCode.Conflict,
            verdict,
            "the request ran; its answer was too large to be kept"
        )
    }
}

/** Responds to a request that was refused and did not run. */
internal suspend fun ApplicationCall.respondRefusal(
    id: RequestId,
    reason: RefusalReason,
    message: String? = null,
    retryAfterMs: Long = 0
) {
    if (retryAfterMs > 0) {
        response.header(HttpHeaders.RetryAfter, ((retryAfterMs + 999) / 1_000).toString())
    }
    if (reason == RefusalReason.UNAUTHENTICATED) {
        response.header(HttpHeaders.WWWAuthenticate, "Bearer")
    }
    respondError(id, reason.status, Verdict.NotRun(reason), message ?: reason.label)
}

/** Responds with an error, its verdict and [message]. */
internal suspend fun ApplicationCall.respondError(
    id: RequestId,
    status: HttpStatusCode,
    verdict: Verdict,
    message: String
) {
    setVerdictHeaders(id, verdict)
    respondText(errorBody(id, verdict, message), ContentType.Application.Json, status)
}

/** The JSON body of an error response, and of the last event of a stream that fails midway. */
internal fun errorBody(id: RequestId, verdict: Verdict, message: String): String = buildJsonObject {
    putJsonObject("error") {
        put("message", message)
        put("type", if (verdict is Verdict.NotRun) "refused" else "failed")
        put("verdict", verdict.label)
        put("reason", verdict.explanation)
        put("request_id", id.value)
    }
}.toString()

private suspend fun ApplicationCall.respondStored(
    id: RequestId,
    outcome: RequestOutcome,
    stored: StoredResponse
) {
    setVerdictHeaders(id, outcome.verdict)
    if (outcome.isReplayed) response.header("X-Replayed", "true")
    val status = HttpStatusCode.fromValue(stored.status)
    respondText(stored.body, ContentType.parse(stored.contentType), status)
}
