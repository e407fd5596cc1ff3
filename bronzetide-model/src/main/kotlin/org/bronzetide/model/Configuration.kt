package org.bronzetide.model

import kotlinx.serialization.Serializable

/**
 * Everything that operators have confirmed, at one version.
 *
 * Objects are named `kind/name`, such as `caller/sorting-line-3`.
 */
@Serializable
public data class Configuration(
    val version: Long = 0,
    val objects: Map<String, ConfigObject> = emptyMap(),
    /** The identifiers of the latest confirmed plans, oldest first. */
    val confirmedPlans: List<ConfirmedPlan> = emptyList()
) {
    /** The callers by identifier. */
    public val callers: Map<CallerId, ConfigObject.CallerObject> by lazy {
        named<ConfigObject.CallerObject>("caller").mapKeys { CallerId(it.key) }
    }

    /** The pools by identifier. */
    public val pools: Map<PoolId, ConfigObject.PoolObject> by lazy {
        named<ConfigObject.PoolObject>("pool").mapKeys { PoolId(it.key) }
    }

    /** The rules by name, in the order of their names. */
    public val rules: Map<String, ConfigObject.RuleObject> by lazy {
        named<ConfigObject.RuleObject>("rule").toSortedMap()
    }

    /** The caller whose key has the digest [keySha256], or `null`. */
    public fun callerByDigest(keySha256: String): CallerId? = callersByDigest[keySha256]

    /** The pool that serves [model], or `null`. */
    public fun poolOfModel(model: String): PoolId? = poolsByModel[model]

    /** The default deadline of [tier] in milliseconds. */
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

        /** The number of confirmed plans that are remembered. */
        public const val MAX_CONFIRMED_PLANS: Int = 64
    }
}

/** A plan that took effect, and the version that it made. */
@Serializable
public data class ConfirmedPlan(val planId: String, val version: Long)
