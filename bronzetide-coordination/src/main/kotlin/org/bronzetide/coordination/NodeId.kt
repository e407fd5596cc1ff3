package org.bronzetide.coordination

import kotlin.random.Random
import kotlinx.serialization.Serializable

/** Identifies a node of the cluster. The id changes with every start of the node's process. */
@JvmInline
@Serializable
public value class NodeId(public val value: String) : Comparable<NodeId> {
    /** The name of the host, which stays the same when its process restarts. */
    public val hostName: String get() = value.substringBeforeLast(SEPARATOR)

    override fun compareTo(other: NodeId): Int = value.compareTo(other.value)

    override fun toString(): String = value

    public companion object {
        private const val RADIX = 36
        private const val SEPARATOR = '~'

        /**
         * Returns the id of a process that starts now on the host [name]. Its second part is
         * random: a time of day that jumps back could make two processes alike.
         */
        public fun ofNewProcess(name: String, random: Random = Random.Default): NodeId {
            val part = random.nextLong().toULong().toString(RADIX)
            return NodeId("$name$SEPARATOR$part")
        }
    }
}
