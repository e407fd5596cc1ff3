package org.bronzetide.model

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json

/** The JSON configurations used in the project. */
public object JsonFormats {
    /** For files written by people. Allows comments and trailing commas, rejects unknown keys. */
    @OptIn(ExperimentalSerializationApi::class)
    public val settings: Json = Json {
        allowComments = true
        allowTrailingComma = true
        prettyPrint = true
        prettyPrintIndent = "  "
    }

    /** For exchange between programs. Compact, ignores unknown keys, omits default values. */
    public val wire: Json = Json {
        ignoreUnknownKeys = true
    }

    /** For callers' requests. Ignores unknown keys, as client libraries expect; strict on types. */
    public val requests: Json = Json {
        ignoreUnknownKeys = true
        isLenient = false
    }
}
