package org.bronzetide.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What an operator wants: objects to exist as stated, and names to be removed. */
@Serializable
public data class Intent(
    val tiers: Map<String, ConfigObject.TierObject> = emptyMap(),
    val callers: Map<String, ConfigObject.CallerObject> = emptyMap(),
    val pools: Map<String, ConfigObject.PoolObject> = emptyMap(),
    val rules: Map<String, ConfigObject.RuleObject> = emptyMap(),
    /** Names of objects to remove, such as `rule/night-shift`. */
    val remove: List<String> = emptyList()
) {
    /** The stated objects by full name. */
    public fun objects(): Map<String, ConfigObject> = buildMap {
        tiers.forEach { (name, value) -> put("tier/$name", value) }
        callers.forEach { (name, value) -> put("caller/$name", value) }
        pools.forEach { (name, value) -> put("pool/$name", value) }
        rules.forEach { (name, value) -> put("rule/$name", value) }
    }
}

/** A fault of an intent or a settings file, and the place where it stands. */
@Serializable
public data class ValidationError(@SerialName("place") val path: String, val message: String)
