package org.bronzetide.node.entry

import kotlinx.serialization.json.JsonObject

/** The part of a caller's request that a target executes. */
internal sealed class RequestContent {
    /** The name under which output lengths are estimated and rules apply. */
    abstract val operation: String

    /** A chat completion, sent to an engine. */
    data class Completion(
        override val operation: String,
        val body: JsonObject,
        val promptTokens: Int,
        val maxOutputTokens: Int,
        val prefixHash: Long,
        val isStreamed: Boolean
    ) : RequestContent()

    /** One HTTP request to a service that is not an engine. */
    data class ServiceRequest(
        override val operation: String,
        val method: String,
        val path: String,
        val query: String,
        val body: String,
        val contentType: String?,
        /** Whether the operation may be executed more than once without harm. */
        val isIdempotent: Boolean
    ) : RequestContent()
}
