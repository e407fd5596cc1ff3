package org.bronzetide.coordination

import kotlinx.serialization.Serializable

/**
 * Identifies a node of the cluster. The id contains the start time of the node's process, so it
 * changes with every start.
 */
@JvmInline
@Serializable
public value class NodeId(public val value: String) : Comparable<NodeId> {
    override fun compareTo(other: NodeId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
