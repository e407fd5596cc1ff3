package org.bronzetide.node

import java.io.File
import org.bronzetide.model.ValidationError
import org.bronzetide.scheduling.Feature

/** Finds the faults of settings that have the right types. */
internal object SettingsValidator {
    private const val MIN_CLUSTER_KEY_CHARS = 16
    private const val MAX_PORT = 65_535
    private val digest = Regex("[0-9a-f]{64}")
    private val name = Regex("[a-z0-9][a-z0-9.-]{0,62}")

    fun validate(settings: Settings): List<ValidationError> =
        textFaults(settings) + numberFaults(settings) + choiceFaults(settings) + tlsFaults(settings)

    private fun textFaults(settings: Settings) = listOfNotNull(
        fault("name", "has 1 to 63 of a-z 0-9 . - and starts with a letter or digit") {
            name.matches(settings.name)
        },
        fault("zone", "must not be empty") { settings.zone.isNotBlank() },
        fault("objectApiUrl", "must start with http:// or https://") {
            isUrl(settings.objectApiUrl)
        },
        fault("hostListUrl", "must start with http:// or https://") { isUrl(settings.hostListUrl) },
        fault("clusterKey", "must have at least $MIN_CLUSTER_KEY_CHARS characters") {
            settings.clusterKey.length >= MIN_CLUSTER_KEY_CHARS
        }
    ) + settings.operatorKeySha256s.mapIndexedNotNull { index, value ->
        fault("operatorKeySha256s[$index]", "must be 64 lower-case hexadecimal digits") {
            digest.matches(value)
        }
    }

    private fun numberFaults(settings: Settings) = listOfNotNull(
        fault("port", "must be from 0 to $MAX_PORT") { settings.port in 0..MAX_PORT },
        fault("peerPort", "must be from 0 to $MAX_PORT") { settings.peerPort in 0..MAX_PORT },
        fault("advertisedPeerPort", "must be from 0 to $MAX_PORT") {
            settings.advertisedPeerPort in 0..MAX_PORT
        },
        fault("httpThreads", "must be from 0 to 1024") { settings.httpThreads in 0..1_024 },
        fault("maxBodyBytes", "must be positive") { settings.maxBodyBytes > 0 },
        fault("bodyTimeoutMs", "must be positive") { settings.bodyTimeoutMs > 0 },
        fault("targetIdleMs", "must be positive") { settings.targetIdleMs > 0 },
        fault("drainMaxMs", "must be positive") { settings.drainMaxMs > 0 },
        fault("ledgerFlushMs", "must be positive") { settings.ledgerFlushMs > 0 },
        fault("ledgerMaxBuffered", "must be positive") { settings.ledgerMaxBuffered > 0 },
        fault("keySlots", "must be from 1 to 4096") { settings.keySlots in 1..4_096 }
    )

    private fun choiceFaults(settings: Settings) = listOfNotNull(
        fault("policy", "must be one of ${SchedulingPolicies.all.joinToString()}") {
            settings.policy in SchedulingPolicies.all
        },
        fault("traces", "must be none or log") { settings.traces in setOf("none", "log") }
    ) + settings.without.mapIndexedNotNull { index, label ->
        fault("without[$index]", "must be one of ${Feature.entries.joinToString { it.label }}") {
            Feature.entries.any { it.label == label }
        }
    }

    private fun tlsFaults(settings: Settings): List<ValidationError> {
        val tls = settings.tls ?: return emptyList()
        return listOfNotNull(
            fault("tls.keyStoreFile", "cannot be read") { File(tls.keyStoreFile).canRead() },
            fault("tls.passwordFile", "cannot be read") { File(tls.passwordFile).canRead() }
        )
    }

    private fun isUrl(text: String) = text.startsWith("http://") || text.startsWith("https://")

    private fun fault(place: String, message: String, isFine: () -> Boolean): ValidationError? =
        if (isFine()) null else ValidationError(place, message)
}
