package org.bronzetide.coordination

/**
 * A node's copy of a [Document], which only moves to newer versions.
 *
 * Single-threaded, but for [current], which any thread may read.
 */
public class DocumentReplica(private val onChange: (Document) -> Unit = {}) {
    private val deltas = ArrayDeque<DocumentDelta>()

    /** The newest version seen. */
    @Volatile
    public var current: Document = Document()
        private set

    /** Takes [document] if it is newer, and returns the change to pass on, or `null`. */
    public fun offer(document: Document): DocumentDelta? {
        if (document.version <= current.version) return null
        val delta = document.deltaFrom(current)
        adopt(document, delta)
        return delta
    }

    /** Applies [delta], or says why it cannot be applied. */
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

    /** The change from [version] to [current]: a recent one if it is kept, else all of it. */
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
        if (deltas.size > KEPT_DELTAS) deltas.removeFirst()
        current = document
        onChange(document)
    }

    private fun merge(first: DocumentDelta, second: DocumentDelta) = DocumentDelta(
        fromVersion = first.fromVersion,
        toVersion = second.toVersion,
        upserts = first.upserts - second.removals.toSet() + second.upserts,
        removals = (first.removals + second.removals).filter { it !in second.upserts }.distinct()
    )

    /** What became of an offered delta. */
    public sealed class Result {
        /** The replica moved on; pass [delta] to others. */
        public data class Applied(val delta: DocumentDelta) : Result()

        /** The replica was as new already. */
        public data object Stale : Result()

        /** The replica is older than the delta's base and must pull what it lacks. */
        public data object Gap : Result()
    }

    private companion object {
        const val KEPT_DELTAS = 64
    }
}
