package org.bronzetide.node.entry

import kotlinx.serialization.json.JsonObject

/** What a request asks a target to do. */
internal sealed class RequestContent {
    /** The name by which output lengths and rules are kept. */
    abstract val operation: String

    /** Generate an answer to a prompt. */
    data class Completion(
        override val operation: String,
        val body: JsonObject,
        val promptTokens: Int,
        val maxOutputTokens: Int,
        val prefixHash: Long,
        val isStreamed: Boolean
    ) : RequestContent()

    /** Make one call of a plain service. */
    data class ServiceRequest(
        override val operation: String,
        val method: String,
        val path: String,
        val query: String,
        val body: String,
        val contentType: String?,
        val isIdempotent: Boolean
    ) : RequestContent()
}
