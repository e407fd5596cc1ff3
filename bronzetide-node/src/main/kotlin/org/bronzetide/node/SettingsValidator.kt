package org.bronzetide.node

import java.io.File
import org.bronzetide.model.ValidationError
import org.bronzetide.scheduling.Feature

/** Validates the values of settings whose types are correct. */
internal object SettingsValidator {
    private const val MIN_CLUSTER_KEY_CHARS = 16
    private const val MAX_PORT = 65_535
    private val digest = Regex("[0-9a-f]{64}")
    private val name = Regex("[a-z0-9][a-z0-9.-]{0,62}")

    /** Returns every error in [settings], or an empty list if they are valid. */
    fun validate(settings: Settings): List<ValidationError> =
        validateTexts(settings) + validateNumbers(settings) + validateChoices(settings) +
            validateTls(settings)

    private fun validateTexts(settings: Settings) = listOfNotNull(
        errorUnless("name", "has 1 to 63 of a-z 0-9 . - and starts with a letter or digit") {
            name.matches(settings.name)
        },
        errorUnless("zone", "must not be empty") { settings.zone.isNotBlank() },
        errorUnless("objectApiUrl", "must start with http:// or https://") {
            isUrl(settings.objectApiUrl)
        },
        errorUnless("hostListUrl", "must start with http:// or https://") {
            isUrl(settings.hostListUrl)
        },
        errorUnless("clusterKey", "must have at least $MIN_CLUSTER_KEY_CHARS characters") {
            settings.clusterKey.length >= MIN_CLUSTER_KEY_CHARS
        }
    ) + settings.operatorKeySha256s.mapIndexedNotNull { index, value ->
        errorUnless("operatorKeySha256s[$index]", "must be 64 lower-case hexadecimal digits") {
            digest.matches(value)
        }
    }

    private fun validateNumbers(settings: Settings) = listOfNotNull(
        errorUnless("port", "must be from 0 to $MAX_PORT") { settings.port in 0..MAX_PORT },
        errorUnless("peerPort", "must be from 0 to $MAX_PORT") { settings.peerPort in 0..MAX_PORT },
        errorUnless("advertisedPeerPort", "must be from 0 to $MAX_PORT") {
            settings.advertisedPeerPort in 0..MAX_PORT
        },
        errorUnless("httpThreads", "must be from 0 to 1024") { settings.httpThreads in 0..1_024 },
        errorUnless("maxBodyBytes", "must be positive") { settings.maxBodyBytes > 0 },
        errorUnless("bodyTimeoutMs", "must be positive") { settings.bodyTimeoutMs > 0 },
        errorUnless("targetIdleMs", "must be positive") { settings.targetIdleMs > 0 },
        errorUnless("drainMaxMs", "must be positive") { settings.drainMaxMs > 0 },
        errorUnless("ledgerFlushMs", "must be positive") { settings.ledgerFlushMs > 0 },
        errorUnless("ledgerMaxBuffered", "must be positive") { settings.ledgerMaxBuffered > 0 },
        errorUnless("keySlots", "must be from 1 to 4096") { settings.keySlots in 1..4_096 }
    )

    private fun validateChoices(settings: Settings) = listOfNotNull(
        errorUnless("policy", "must be one of ${SchedulingPolicies.all.joinToString()}") {
            settings.policy in SchedulingPolicies.all
        },
        errorUnless("traces", "must be none or log") { settings.traces in setOf("none", "log") }
    ) + settings.without.mapIndexedNotNull { index, label ->
        errorUnless(
            "without[$index]",
            "must be one of ${Feature.entries.joinToString { it.label }}"
        ) {
            Feature.entries.any { it.label == label }
        }
    }

    private fun validateTls(settings: Settings): List<ValidationError> {
        val tls = settings.tls ?: return emptyList()
        return listOfNotNull(
            errorUnless("tls.keyStoreFile", "cannot be read") { File(tls.keyStoreFile).canRead() },
            errorUnless("tls.passwordFile", "cannot be read") { File(tls.passwordFile).canRead() }
        )
    }

    private fun isUrl(text: String) = text.startsWith("http://") || text.startsWith("https://")

    private fun errorUnless(
        path: String,
        message: String,
        isValid: () -> Boolean
    ): ValidationError? = if (isValid()) null else ValidationError(path, message)
}
