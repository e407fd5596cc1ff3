package org.bronzetide.edge.state

import org.bronzetide.coordination.Blackboard
import org.bronzetide.platform.fleet.Manifest
import org.bronzetide.platform.fleet.TargetEntry

/** A [value], the store's [revision] at which it was read, and when it was last confirmed. */
internal data class ObservedValue<T>(val value: T, val revision: Long, val confirmedAtMs: Long)

/** The blackboard keys for the state that this process has last observed. */
internal object BlackboardKeys {
    /** The newest manifest: a list of one element, or an empty list before one is known. */
    val manifest = Blackboard.Key<List<Manifest>>("manifest", emptyList())

    /** The targets that may be used, by id. */
    val targets = Blackboard.Key<Map<String, TargetEntry>>("targets", emptyMap())

    /** Whether the targets have been read at least once, from the store or a peer. */
    val areTargetsKnown = Blackboard.Key("targets are known", false)
}
