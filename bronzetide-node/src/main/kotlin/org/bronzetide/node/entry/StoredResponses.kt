package org.bronzetide.node.entry

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import org.bronzetide.coordination.StoredResponse
import org.bronzetide.model.JsonFormats

/** Converts stored responses to events of a stream. */
internal object StoredResponses {
    /**
     * Converts the whole completion in [response] to the only chunk of a stream.
     *
     * @throws IllegalArgumentException if the body is not a JSON object
     */
    fun toStreamChunk(response: StoredResponse): String {
        val completion = JsonFormats.wire.parseToJsonElement(response.body).jsonObject
        val choices = completion.getValue("choices").jsonArray.map { choice ->
            val fields = choice.jsonObject
            JsonObject(fields - "message" + ("delta" to fields.getValue("message")))
        }
        val kind = "object" to JsonPrimitive("chat.completion.chunk")
        return JsonObject(completion + kind + ("choices" to JsonArray(choices))).toString()
    }
}
