package org.bronzetide.coordination

/**
 * A node's copy of a [Document]. Its version never decreases.
 *
 * Not thread-safe, except for [current], which any thread may read. The callback `onChange` gets
 * each new version on the thread that offered it.
 */
public class DocumentReplica(private val onChange: (Document) -> Unit = {}) {
    private val deltas = ArrayDeque<DocumentDelta>()

    /** The newest document offered so far. */
    @Volatile
    public var current: Document = Document()
        private set

    /** Adopts [document] if it is newer. Returns the delta to forward to peers, or `null`. */
    public fun offer(document: Document): DocumentDelta? {
        if (document.version <= current.version) return null
        val delta = document.deltaFrom(current)
        adopt(document, delta)
        return delta
    }

    /** Applies [delta] if it is newer than [current] and based on it, or on version 0. */
    public fun offer(delta: DocumentDelta): Result = when {
        delta.toVersion <= current.version -> Result.Stale

        delta.fromVersion != 0L && delta.fromVersion != current.version -> Result.Gap

        else -> {
            val base = if (delta.fromVersion == 0L) emptyMap() else current.entries
            val entries = base - delta.removals.toSet() + delta.upserts
            adopt(Document(delta.toVersion, entries), delta)
            Result.Applied(delta)
        }
    }

    /**
     * Returns the delta from [version] to [current], or `null` if [version] is not older.
     *
     * If the deltas since [version] are no longer retained, the result holds the whole document.
     */
    public fun deltaSince(version: Long): DocumentDelta? {
        if (version >= current.version) return null
        val start = deltas.indexOfFirst { it.fromVersion == version }
        if (version == 0L || start < 0) return current.deltaFrom(Document())
        return deltas.drop(start).reduce { first, second -> merge(first, second) }
    }

    private fun adopt(document: Document, delta: DocumentDelta) {
        val isContinuous = deltas.isEmpty() || deltas.last().toVersion == delta.fromVersion
        if (!isContinuous) deltas.clear()
        deltas.addLast(delta)
        if (deltas.size > MAX_RETAINED_DELTAS) deltas.removeFirst()
        current = document
        onChange(document)
    }

    private fun merge(first: DocumentDelta, second: DocumentDelta) = DocumentDelta(
        fromVersion = first.fromVersion,
        toVersion = second.toVersion,
        upserts = first.upserts - second.removals.toSet() + second.upserts,
        removals = (first.removals + second.removals).filter { it !in second.upserts }.distinct()
    )

    /** The result of offering a delta. */
    public sealed class Result {
        /** The replica was updated. [delta] is to be forwarded to peers. */
        public data class Applied(val delta: DocumentDelta) : Result()

        /** The delta is no newer than the replica. */
        public data object Stale : Result()

        /** The delta is based on another version, so the replica must pull the missing changes. */
        public data object Gap : Result()
    }

    private companion object {
        const val MAX_RETAINED_DELTAS = 64
    }
}
