package org.bronzetide.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A configuration object that operators create, change and remove with intents. */
@Serializable
public sealed class ConfigObject {
    /** The defaults of a tier. */
    @Serializable
    @SerialName("tier")
    public data class TierObject(
        val level: Int,
        /** The default time from arrival to the complete response, in milliseconds. */
        val deadlineMs: Long = 30_000
    ) : ConfigObject()

    /** The account of a client that sends requests. */
    @Serializable
    @SerialName("caller")
    public data class CallerObject(
        /** The SHA-256 digest of the bearer key, as 64 lowercase hexadecimal digits. */
        val keySha256: String,
        /** The most urgent tier that the caller may request, and its default. */
        val tier: Int = 3,
        /** The caller's share of a tier's capacity relative to other callers. */
        val weight: Double = 1.0
    ) : ConfigObject()

    /** A set of interchangeable targets. */
    @Serializable
    @SerialName("pool")
    public data class PoolObject(
        val kind: PoolKind,
        /** The model names used in requests. Only for [PoolKind.MODEL]. */
        val models: List<String> = emptyList(),
        /** The operations of the service. Only for [PoolKind.SERVICE]. */
        val operations: List<Operation> = emptyList(),
        /** The initial concurrency limit of a target, before the limit adapts. */
        val concurrencyPerTarget: Int = 8,
        /** The maximum number of queued requests. */
        val maxQueued: Int = 2_000,
        /** The time between tokens that the adaptive limit aims for, in milliseconds. */
        val betweenTokensMs: Double = 46.0,
        /** The time to the first token that bounds a target's prefill backlog, in milliseconds. */
        val firstTokenMs: Double = 1_900.0,
        /**
         * The allowed ratio of retries to first attempts. Only requests that certainly did not run
         * are retried.
         */
        val retryShare: Double = 0.1,
        /** The number of arbiters among which the targets and the requests are divided. */
        val shards: Int = 1
    ) : ConfigObject()

    /** Sets the tier, deadline and limits of the requests that it matches. */
    @Serializable
    @SerialName("rule")
    public data class RuleObject(
        /** Matches one caller, or every caller if `null`. */
        val caller: String? = null,
        /** Matches one pool, or every pool if `null`. */
        val pool: String? = null,
        /** Matches one operation of a service, or every operation if `null`. */
        val operation: String? = null,
        val tier: Int? = null,
        val deadlineMs: Long? = null,
        /** The limit in requests per second for each matched caller and pool. */
        val requestsPerSecond: Double? = null,
        /** The limit in prompt and output tokens per second for each matched caller and pool. */
        val tokensPerSecond: Double? = null,
        /** The limit of queued and running requests for each matched caller and pool. */
        val concurrent: Int? = null
    ) : ConfigObject()
}

/** The kind of targets in a pool. */
@Serializable
public enum class PoolKind {
    /** Engines that generate tokens. */
    @SerialName("model")
    MODEL,

    /** Plain HTTP services. */
    @SerialName("service")
    SERVICE
}

/** An operation of a service pool. */
@Serializable
public data class Operation(
    val name: String,
    val method: String,
    val path: String,
    /** Whether the operation is idempotent. If not, requests need an idempotency key. */
    val repeatable: Boolean = false
)
