package org.bronzetide.scheduling

/** How the scheduler of one pool shard decides. */
public data class PoolPolicy(
    /** The requests that a target takes at once before its limit adapts. */
    val concurrencyPerTarget: Int = 8,
    val maxQueued: Int = 2_000,
    /** The time between tokens that the per-target limit aims for. */
    val betweenTokensMs: Double = 46.0,
    /** The time to the first token that the backlog of prefills on a target is held to. */
    val firstTokenMs: Double = 1_900.0,
    val features: Set<Feature> = Feature.all
) {
    /** Whether [feature] is on. */
    public operator fun contains(feature: Feature): Boolean = feature in features
}
