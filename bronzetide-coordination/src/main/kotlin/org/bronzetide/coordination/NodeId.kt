package org.bronzetide.coordination

import kotlinx.serialization.Serializable

/** Identifies a node of the cluster. A restarted process keeps the id. */
@JvmInline
@Serializable
public value class NodeId(public val value: String) : Comparable<NodeId> {
    override fun compareTo(other: NodeId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
