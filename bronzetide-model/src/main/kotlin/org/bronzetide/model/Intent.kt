package org.bronzetide.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An operator's request to create or change objects as stated and to remove others by name. */
@Serializable
public data class Intent(
    val tiers: Map<String, ConfigObject.TierObject> = emptyMap(),
    val callers: Map<String, ConfigObject.CallerObject> = emptyMap(),
    val pools: Map<String, ConfigObject.PoolObject> = emptyMap(),
    val rules: Map<String, ConfigObject.RuleObject> = emptyMap(),
    /** The full names of objects to remove, for example `rule/night-shift`. */
    val remove: List<String> = emptyList()
) {
    /** Returns the stated objects by full name. */
    public fun objects(): Map<String, ConfigObject> = buildMap {
        tiers.forEach { (name, value) -> put("tier/$name", value) }
        callers.forEach { (name, value) -> put("caller/$name", value) }
        pools.forEach { (name, value) -> put("pool/$name", value) }
        rules.forEach { (name, value) -> put("rule/$name", value) }
    }
}

/** An error in an intent or a settings file, at [path]. */
@Serializable
public data class ValidationError(@SerialName("place") val path: String, val message: String)
