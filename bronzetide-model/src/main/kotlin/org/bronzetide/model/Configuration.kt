package org.bronzetide.model

import kotlinx.serialization.Serializable

/**
 * One version of the configuration that operators have confirmed.
 *
 * Objects are named `kind/name`, for example `caller/sorting-line-3`.
 */
@Serializable
public data class Configuration(
    val version: Long = 0,
    val objects: Map<String, ConfigObject> = emptyMap(),
    /** The latest confirmed plans, oldest first, by which a repeated confirm is recognized. */
    val confirmedPlans: List<ConfirmedPlan> = emptyList()
) {
    /** The callers by id. */
    public val callers: Map<CallerId, ConfigObject.CallerObject> by lazy {
        named<ConfigObject.CallerObject>("caller").mapKeys { CallerId(it.key) }
    }

    /** The pools by id. */
    public val pools: Map<PoolId, ConfigObject.PoolObject> by lazy {
        named<ConfigObject.PoolObject>("pool").mapKeys { PoolId(it.key) }
    }

    /** The rules by name, ordered by name. */
    public val rules: Map<String, ConfigObject.RuleObject> by lazy {
        named<ConfigObject.RuleObject>("rule").toSortedMap()
    }

    /** Returns the caller whose bearer key has the digest [keySha256], or `null`. */
    public fun callerByDigest(keySha256: String): CallerId? = callersByDigest[keySha256]

    /** Returns the pool that serves [model], or `null`. */
    public fun poolOfModel(model: String): PoolId? = poolsByModel[model]

    /** Returns the default deadline of [tier] in milliseconds. */
    public fun deadlineMs(tier: Tier): Long = tiers[tier.level]?.deadlineMs ?: DEFAULT_DEADLINE_MS

    private val tiers by lazy {
        named<ConfigObject.TierObject>("tier").values.associateBy { it.level }
    }

    private val callersByDigest by lazy {
        callers.entries.associate { it.value.keySha256 to it.key }
    }

    private val poolsByModel by lazy {
        pools.flatMap { (id, pool) -> pool.models.map { it to id } }.toMap()
    }

    private inline fun <reified T : ConfigObject> named(kind: String): Map<String, T> = objects
        .filterKeys { it.startsWith("$kind/") }
        .mapNotNull { (name, value) -> (value as? T)?.let { name.substringAfter('/') to it } }
        .toMap()

    public companion object {
        /** The deadline of a tier that is not configured, in milliseconds. */
        public const val DEFAULT_DEADLINE_MS: Long = 30_000

        /** The maximum size of [confirmedPlans]. */
        public const val MAX_CONFIRMED_PLANS: Int = 64
    }
}

/** A plan that took effect, and the resulting version. */
@Serializable
public data class ConfirmedPlan(val planId: String, val version: Long)
