package org.bronzetide.coordination

import kotlinx.serialization.Serializable

/** A versioned set of named entries that every node replicates. */
@Serializable
public data class Document(val version: Long = 0, val entries: Map<String, String> = emptyMap()) {
    /** The change that leads from [earlier] to this document. */
    public fun deltaFrom(earlier: Document): DocumentDelta = DocumentDelta(
        fromVersion = earlier.version,
        toVersion = version,
        upserts = entries.filter { (name, value) -> earlier.entries[name] != value },
        removals = earlier.entries.keys.filter { it !in entries }
    )
}

/** A change of a [Document]; one from version 0 holds all of it. */
@Serializable
public data class DocumentDelta(
    val fromVersion: Long,
    val toVersion: Long,
    val upserts: Map<String, String>,
    val removals: List<String> = emptyList()
)
