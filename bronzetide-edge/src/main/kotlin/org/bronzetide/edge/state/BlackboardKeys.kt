package org.bronzetide.edge.state

import org.bronzetide.coordination.Blackboard
import org.bronzetide.platform.fleet.Manifest
import org.bronzetide.platform.fleet.TargetEntry

/** A [value] with the store's [revision] at which it was seen and when it was last confirmed. */
internal data class ObservedValue<T>(val value: T, val revision: Long, val confirmedAtMs: Long)

/** The keys of the blackboard on which this process keeps what it believes. */
internal object BlackboardKeys {
    /** The newest manifest; a list of one, or of none before the first is known. */
    val manifest = Blackboard.Key<List<Manifest>>("manifest", emptyList())

    /** The targets that may be used, by id. */
    val targets = Blackboard.Key<Map<String, TargetEntry>>("targets", emptyMap())

    /** Whether the targets were read at least once in this process. */
    val areTargetsKnown = Blackboard.Key("targets are known", false)
}
