package org.bronzetide.coordination

import kotlinx.serialization.Serializable

/** Names a node of the cluster, the same across restarts of its host's process. */
@JvmInline
@Serializable
public value class NodeId(public val value: String) : Comparable<NodeId> {
    override fun compareTo(other: NodeId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
