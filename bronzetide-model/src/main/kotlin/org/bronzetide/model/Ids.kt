package org.bronzetide.model

import kotlinx.serialization.Serializable

/** Identifies a caller, the account that a request is billed to. */
@JvmInline
@Serializable
public value class CallerId(public val value: String) : Comparable<CallerId> {
    override fun compareTo(other: CallerId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a pool of targets. */
@JvmInline
@Serializable
public value class PoolId(public val value: String) : Comparable<PoolId> {
    override fun compareTo(other: PoolId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a target, which is one replica of an engine or a service. */
@JvmInline
@Serializable
public value class TargetId(public val value: String) : Comparable<TargetId> {
    override fun compareTo(other: TargetId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a request, unique across nodes. */
@JvmInline
@Serializable
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** The urgency of a request, from [MOST_URGENT] to [LEAST_URGENT]. */
@JvmInline
@Serializable
public value class Tier(public val level: Int) : Comparable<Tier> {
    override fun compareTo(other: Tier): Int = level.compareTo(other.level)

    override fun toString(): String = level.toString()

    public companion object {
        /** The level that is served first and shed last. */
        public const val MOST_URGENT: Int = 1

        /** The level that is served last and shed first. */
        public const val LEAST_URGENT: Int = 4

        /** Every tier, the most urgent first. */
        public val all: List<Tier> = (MOST_URGENT..LEAST_URGENT).map { Tier(it) }
    }
}
