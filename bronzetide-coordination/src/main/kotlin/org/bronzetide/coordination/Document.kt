package org.bronzetide.coordination

import kotlinx.serialization.Serializable

/** A versioned map of named entries that is replicated to every node. */
@Serializable
public data class Document(val version: Long = 0, val entries: Map<String, String> = emptyMap()) {
    /** Returns the changes that turn [earlier] into this document. */
    public fun deltaFrom(earlier: Document): DocumentDelta = DocumentDelta(
        fromVersion = earlier.version,
        toVersion = version,
        upserts = entries.filter { (name, value) -> earlier.entries[name] != value },
        removals = earlier.entries.keys.filter { it !in entries }
    )
}

/** The changes between two versions of a [Document]. From version 0, it holds all entries. */
@Serializable
public data class DocumentDelta(
    val fromVersion: Long,
    val toVersion: Long,
    val upserts: Map<String, String>,
    val removals: List<String> = emptyList()
)
