package org.bronzetide.cli

import io.ktor.client.HttpClient
import io.ktor.client.plugins.HttpRequestTimeoutException
import io.ktor.client.plugins.timeout
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.parameter
import io.ktor.client.statement.bodyAsText
import java.io.IOException
import kotlinx.serialization.SerializationException
import org.bronzetide.model.JsonFormats
import org.bronzetide.platform.fleet.PlatformHeaders

/** Asks the host whose control address is [address], `IP:PORT`, to explain requests. */
class ExplainClient(private val http: HttpClient, private val address: String) {
    /** A request to be explained; nothing of it is sent to a target. */
    data class Query(
        val requestHost: String,
        val path: String,
        val method: String,
        val apiKey: String?,
        val promptTokens: Int?,
        val maxOutputTokens: Int?
    )

    /** An explanation, decoded and as the host sent it. */
    class Answer(val explanation: Explanation, val json: String)

    /**
     * Returns the explanation for [query].
     *
     * @throws InvalidQueryException if the host rejects a value of the query.
     * @throws IOException if the host cannot be reached, does not respond within 5 s, or responds
     * with something else than an explanation.
     */
    suspend fun explain(query: Query): Answer {
        val response = try {
            http.get("http://$address/explain") {
                timeout { requestTimeoutMillis = REQUEST_TIMEOUT_MS }
                parameter("host", query.requestHost)
                parameter("path", query.path)
                parameter("method", query.method)
                query.promptTokens?.let { parameter("prompt_tokens", it) }
                query.maxOutputTokens?.let { parameter("max_output_tokens", it) }
                query.apiKey?.let { header(PlatformHeaders.API_KEY, it) }
            }
        } catch (cause: HttpRequestTimeoutException) {
            throw IOException("no response within ${REQUEST_TIMEOUT_MS / MS_PER_S} s", cause)
        }
        val text = response.bodyAsText()
        return when (val status = response.status.value) {
            OK -> Answer(decode(text), text)

            BAD_REQUEST -> throw InvalidQueryException(text)

            NOT_FOUND -> throw IOException(
                "it has no /explain: not a control address, or an older version"
            )

            else -> throw IOException("unexpected response with status $status")
        }
    }

    private fun decode(text: String): Explanation = try {
        JsonFormats.wire.decodeFromString(Explanation.serializer(), text)
    } catch (cause: SerializationException) {
        throw IOException("its response is no explanation", cause)
    }

    /** The host rejects a value of the query, which the message names. */
    class InvalidQueryException(message: String) : Exception(message)

    private companion object {
        const val REQUEST_TIMEOUT_MS = 5_000L
        const val MS_PER_S = 1_000
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
    }
}
