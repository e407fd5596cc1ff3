package org.bronzetide.node

import java.io.File
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement
import org.bronzetide.model.JsonFormats
import org.bronzetide.model.StructureValidator
import org.bronzetide.model.ValidationError
import org.bronzetide.scheduling.Feature

/** The settings of a node, read at its start from a JSON file that may contain comments. */
@Serializable
data class Settings(
    /** The node's name in the host list. */
    val name: String,
    /** The availability zone that the node runs in. */
    val zone: String,
    /** The address that the node listens on, and that it gives its peers to connect to. */
    val host: String = "127.0.0.1",
    /** The port for callers and operators; 0 selects a free one. */
    val port: Int = 8080,
    /** The number of threads that serve HTTP; 0 means one per processor. */
    val httpThreads: Int = 0,
    /** The port for peers; 0 selects a free one. */
    val peerPort: Int = 8081,
    /** The port that peers connect to, if a proxy is in between; 0 means [peerPort]. */
    val advertisedPeerPort: Int = 0,
    /** The base URL of the platform's Object API. */
    val objectApiUrl: String,
    /** The base URL of the platform's host list. */
    val hostListUrl: String,
    /** The secret that all nodes share to authenticate each other, at least 16 characters. */
    val clusterKey: String,
    /** The SHA-256 digests of the operators' bearer keys, in lowercase hexadecimal. */
    val operatorKeySha256s: List<String> = emptyList(),
    /** The largest request body, in bytes. */
    val maxBodyBytes: Int = 4_000_000,
    /** The time limit for receiving a request body, in milliseconds. */
    val bodyTimeoutMs: Long = 10_000,
    /** The time without data after which a stream is resumed on a new connection, in ms. */
    val targetIdleMs: Long = 2_000,
    /** The time limit for finishing requests when the node stops, in milliseconds. */
    val drainMaxMs: Long = 300_000,
    /** The interval between writes of the ledger, in milliseconds. */
    val ledgerFlushMs: Long = 2_000,
    /**
     * The number of ledger lines buffered while the store is unavailable; once it is reached, new
     * requests are refused.
     */
    val ledgerMaxBuffered: Int = 100_000,
    /** The number of slots of idempotency keys; the first node of a cluster sets it for all. */
    val keySlots: Int = 64,
    /** The scheduling policy, one of [SchedulingPolicies]; experiments use the baselines. */
    val policy: String = SchedulingPolicies.BRONZETIDE,
    /** The scheduling features to disable, for experiments. */
    val without: List<String> = emptyList(),
    /** Where trace spans are exported to: `none` or `log`. */
    val traces: String = "none",
    /** The certificate of the HTTP server; without it the server uses plain HTTP. */
    val tls: TlsSettings? = null
) {
    /** The scheduling features that are enabled. */
    val features: Set<Feature> get() = Feature.all - without.map { Feature.parse(it) }.toSet()

    companion object {
        /** Reads settings from [file]. */
        fun load(file: File): SettingsResult = try {
            parse(file.readText())
        } catch (cause: java.io.IOException) {
            SettingsResult.Invalid(
                listOf(ValidationError(file.path, cause.message ?: "cannot be read"))
            )
        }

        /** Parses [text], JSON with comments, and validates the result. */
        fun parse(text: String): SettingsResult {
            val element = try {
                JsonFormats.settings.parseToJsonElement(text)
            } catch (cause: SerializationException) {
                val message = cause.message.orEmpty().lineSequence().first()
                return SettingsResult.Invalid(listOf(ValidationError("settings", message)))
            }
            val structure = StructureValidator.validate(element, serializer().descriptor)
            if (structure.isNotEmpty()) return SettingsResult.Invalid(structure)
            return validate(element)
        }

        private fun validate(element: JsonElement): SettingsResult {
            val settings = JsonFormats.settings.decodeFromJsonElement(serializer(), element)
            val errors = SettingsValidator.validate(settings)
            return if (errors.isEmpty()) {
                SettingsResult.Valid(settings)
            } else {
                SettingsResult.Invalid(errors)
            }
        }
    }
}

/** A certificate and its key in a PKCS #12 file. */
@Serializable
data class TlsSettings(
    val keyStoreFile: String,
    /** The file that contains the password of the key store. */
    val passwordFile: String
)

/** The result of reading and validating settings. */
sealed class SettingsResult {
    /** The settings are valid. */
    data class Valid(val settings: Settings) : SettingsResult()

    /** The settings cannot be used; [errors] lists everything that is wrong, by path. */
    data class Invalid(val errors: List<ValidationError>) : SettingsResult()
}

/** The values of [Settings.policy]. */
object SchedulingPolicies {
    /** Each dispatch needs a grant of the arbiter for its pool. */
    const val BRONZETIDE = "bronzetide"

    /** A baseline: each node schedules by itself, in order of arrival, targets in rotation. */
    const val ROUND_ROBIN = "round-robin"

    /**
     * A baseline: each node schedules by itself, in order of arrival, to the target whose last load
     * report is lowest.
     */
    const val LEAST_LOADED = "least-loaded"

    /** All policies. */
    val all = listOf(BRONZETIDE, ROUND_ROBIN, LEAST_LOADED)
}
