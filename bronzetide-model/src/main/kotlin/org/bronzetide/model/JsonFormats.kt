package org.bronzetide.model

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json

/** The JSON dialects of the project. */
public object JsonFormats {
    /** For files that people write: comments and trailing commas allowed, unknown names refused. */
    @OptIn(ExperimentalSerializationApi::class)
    public val settings: Json = Json {
        allowComments = true
        allowTrailingComma = true
        prettyPrint = true
        prettyPrintIndent = "  "
    }

    /** For what programs exchange: compact, unknown names ignored, defaults left out. */
    public val wire: Json = Json {
        ignoreUnknownKeys = true
    }

    /** For callers' requests: unknown names ignored as client libraries expect, types strict. */
    public val requests: Json = Json {
        ignoreUnknownKeys = true
        isLenient = false
    }
}
