package org.bronzetide.scheduling

/** The parameters of the scheduler of a pool shard. */
public data class PoolPolicy(
    /** The initial concurrency limit of a target. */
    val concurrencyPerTarget: Int = 8,
    /** The maximum number of waiting tickets. Once it is reached, tickets are shed. */
    val maxQueued: Int = 2_000,
    /** The time between tokens that the adaptive concurrency limit aims for, in milliseconds. */
    val betweenTokensMs: Double = 46.0,
    /** The time to the first token that bounds a target's prefill backlog, in milliseconds. */
    val firstTokenMs: Double = 1_900.0,
    val features: Set<Feature> = Feature.all
) {
    /** Whether [feature] is on. */
    public operator fun contains(feature: Feature): Boolean = feature in features
}
