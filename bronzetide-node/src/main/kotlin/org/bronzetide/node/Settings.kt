package org.bronzetide.node

import java.io.File
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement
import org.bronzetide.model.JsonFormats
import org.bronzetide.model.StructureValidator
import org.bronzetide.model.ValidationError
import org.bronzetide.scheduling.Feature

/** What a node is told at its start, in a JSON file with comments. */
@Serializable
data class Settings(
    /** The node's name in the host list. */
    val name: String,
    /** The availability zone that the node runs in. */
    val zone: String,
    /** The address that the node listens on and that peers connect to. */
    val host: String = "127.0.0.1",
    /** The port for callers and operators; 0 picks a free one. */
    val port: Int = 8080,
    /** The threads that serve callers; 0 takes one for each processor. */
    val httpThreads: Int = 0,
    /** The port for peers; 0 picks a free one. */
    val peerPort: Int = 8081,
    /** The port that peers are told, where something stands between; 0 tells them the own one. */
    val advertisedPeerPort: Int = 0,
    /** The base URL of the platform's Object API. */
    val objectApiUrl: String,
    /** The base URL of the platform's host list. */
    val hostListUrl: String,
    /** The secret that all nodes share, at least 16 characters. */
    val clusterKey: String,
    /** The SHA-256 digests of the operators' bearer keys, in lower-case hexadecimal. */
    val operatorKeySha256s: List<String> = emptyList(),
    /** The largest request body, in bytes. */
    val maxBodyBytes: Int = 4_000_000,
    /** The time within which a request's body must have arrived, in milliseconds. */
    val bodyTimeoutMs: Long = 10_000,
    /** The time without a token after which a stream is resumed on a fresh connection. */
    val targetIdleMs: Long = 2_000,
    /** The time for which a stopping node waits for its requests, in milliseconds. */
    val drainMaxMs: Long = 300_000,
    /** The time between writes of the ledger, in milliseconds. */
    val ledgerFlushMs: Long = 2_000,
    /** The ledger lines kept while the store is away; beyond it new requests are refused. */
    val ledgerMaxBuffered: Int = 100_000,
    /** The slots of the idempotency keys; the first node to start decides. */
    val keySlots: Int = 64,
    /** The way requests are placed; others than `bronzetide` are baselines for experiments. */
    val policy: String = SchedulingPolicies.BRONZETIDE,
    /** Scheduling features to switch off in experiments. */
    val without: List<String> = emptyList(),
    /** Where spans go: `none` or `log`. */
    val traces: String = "none",
    /** The certificate for callers and operators; plain HTTP if absent. */
    val tls: TlsSettings? = null
) {
    /** The scheduling features that are on. */
    val features: Set<Feature> get() = Feature.all - without.map { Feature.parse(it) }.toSet()

    companion object {
        /** Reads settings from [file], or lists every fault. */
        fun load(file: File): SettingsResult = try {
            parse(file.readText())
        } catch (cause: java.io.IOException) {
            SettingsResult.Invalid(
                listOf(
                    ValidationError(
                        file.path,
                        cause.message ?: "cannot be read"
                    )
                )
            )
        }

        /** Parses [text], or lists every fault. */
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
                SettingsResult.Valid(
                    settings
                )
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
    /** The file that holds the store's password. */
    val passwordFile: String
)

/** The result of reading settings. */
sealed class SettingsResult {
    /** The settings may be used. */
    data class Valid(val settings: Settings) : SettingsResult()

    /** The settings have [errors], each with its place. */
    data class Invalid(val errors: List<ValidationError>) : SettingsResult()
}

/** The names of the ways to place requests. */
object SchedulingPolicies {
    /** Turns granted by an arbiter for each pool. */
    const val BRONZETIDE = "bronzetide"

    /** A baseline: each node alone, first in first out, targets in turn. */
    const val ROUND_ROBIN = "round-robin"

    /** A baseline: each node alone, first in first out, by the targets' stale load reports. */
    const val LEAST_LOADED = "least-loaded"

    /** All of them. */
    val all = listOf(BRONZETIDE, ROUND_ROBIN, LEAST_LOADED)
}
