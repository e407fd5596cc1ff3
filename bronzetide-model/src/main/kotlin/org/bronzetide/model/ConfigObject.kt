package org.bronzetide.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An object that operators create, change and remove by intents. */
@Serializable
public sealed class ConfigObject {
    /** A tier's defaults. */
    @Serializable
    @SerialName("tier")
    public data class TierObject(
        val level: Int,
        /** The time from arrival within which an answer must be complete, unless stated. */
        val deadlineMs: Long = 30_000
    ) : ConfigObject()

    /** An account that sends requests. */
    @Serializable
    @SerialName("caller")
    public data class CallerObject(
        /** The SHA-256 digest of the bearer key, as 64 lower-case hexadecimal digits. */
        val keySha256: String,
        /** The most urgent tier that the caller may ask for, and its default. */
        val tier: Int = 3,
        /** The caller's share within a tier in relation to others. */
        val weight: Double = 1.0
    ) : ConfigObject()

    /** A set of targets that serve the same work. */
    @Serializable
    @SerialName("pool")
    public data class PoolObject(
        val kind: PoolKind,
        /** The model names that callers use; only for [PoolKind.MODEL]. */
        val models: List<String> = emptyList(),
        /** The calls that a service offers; only for [PoolKind.SERVICE]. */
        val operations: List<Operation> = emptyList(),
        /** The requests that a target takes at once before its limit adapts. */
        val concurrencyPerTarget: Int = 8,
        /** The queue's bound in requests. */
        val maxQueued: Int = 2_000,
        /** The time between tokens that the per-target limit aims for. */
        val betweenTokensMs: Double = 46.0,
        /** The time to the first token that the backlog of prefills on a target is held to. */
        val firstTokenMs: Double = 1_900.0,
        /** The share of dispatches that may be retries of requests that surely did not run. */
        val retryShare: Double = 0.1,
        /** The number of arbiters among which the targets and the requests are split. */
        val shards: Int = 1
    ) : ConfigObject()

    /** Sets the tier, deadline and limits of the requests that it matches. */
    @Serializable
    @SerialName("rule")
    public data class RuleObject(
        /** Matches one caller, or every caller if absent. */
        val caller: String? = null,
        /** Matches one pool, or every pool if absent. */
        val pool: String? = null,
        /** Matches one operation of a service, or every one if absent. */
        val operation: String? = null,
        val tier: Int? = null,
        val deadlineMs: Long? = null,
        /** Requests a second for each matched caller and pool. */
        val requestsPerSecond: Double? = null,
        /** Tokens a second, prompt and output together, for each matched caller and pool. */
        val tokensPerSecond: Double? = null,
        /** Requests waiting or running at once for each matched caller and pool. */
        val concurrent: Int? = null
    ) : ConfigObject()
}

/** What the targets of a pool are. */
@Serializable
public enum class PoolKind {
    /** Engines that generate tokens. */
    @SerialName("model")
    MODEL,

    /** Plain HTTP services. */
    @SerialName("service")
    SERVICE
}

/** One call of a service pool. */
@Serializable
public data class Operation(
    val name: String,
    val method: String,
    val path: String,
    /** Whether the call is idempotent. One that is not needs an idempotency key. */
    val repeatable: Boolean = false
)
