package org.bronzetide.edge.entry

import java.net.URLDecoder
import org.bronzetide.http.IncomingRequest
import org.bronzetide.platform.fleet.PlatformHeaders

/**
 * The request that an operator wants explained. The key is in a header of the query, as in a
 * request, because URLs are often logged.
 */
internal data class ExplainQuery(
    val host: String,
    val path: String,
    val method: String,
    val apiKey: String?,
    val promptTokens: Int?,
    val maxOutputTokens: Int?
) {
    companion object {
        private const val MAX_VALUE_CHARS = 8_192

        /**
         * Reads the query of a request for `/explain`.
         *
         * @throws IllegalArgumentException if a parameter is missing, unknown or invalid; the
         * message names it.
         */
        fun of(request: IncomingRequest): ExplainQuery {
            val parameters = parameters(request.requestTarget.substringAfter('?', ""))
            val unknown = parameters.keys - names
            require(unknown.isEmpty()) { "unknown parameter '${unknown.first()}'" }
            val path = parameters["path"].orEmpty()
            require(path.startsWith("/")) { "path: must begin with a slash" }
            val host = parameters["host"].orEmpty()
            require(host.isNotEmpty()) { "host: missing" }
            val method = parameters["method"] ?: "GET"
            require(method.isNotEmpty() && method.all { it in 'A'..'Z' }) {
                "method: must be in capital letters"
            }
            return ExplainQuery(
                host,
                path.substringBefore('?'),
                method,
                request.headers[PlatformHeaders.API_KEY]?.trim(),
                tokens(parameters, "prompt_tokens"),
                tokens(parameters, "max_output_tokens")
            )
        }

        private val names =
            setOf("host", "path", "method", "prompt_tokens", "max_output_tokens")

        private fun tokens(parameters: Map<String, String>, name: String): Int? =
            parameters[name]?.let { text ->
                requireNotNull(text.toIntOrNull()?.takeIf { it >= 0 }) {
                    "$name: must be a whole number, 0 or more"
                }
            }

        private fun parameters(query: String): Map<String, String> =
            query.split('&').filter { it.isNotEmpty() }.associate {
                val value = it.substringAfter('=', "")
                require(value.length <= MAX_VALUE_CHARS) { "a parameter is too long" }
                it.substringBefore('=') to URLDecoder.decode(value, Charsets.UTF_8)
            }
    }
}
