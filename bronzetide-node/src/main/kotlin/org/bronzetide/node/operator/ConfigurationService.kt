package org.bronzetide.node.operator

import java.util.UUID
import kotlin.random.Random
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement
import org.bronzetide.coordination.Backoff
import org.bronzetide.model.Configuration
import org.bronzetide.model.ConfirmResult
import org.bronzetide.model.Intent
import org.bronzetide.model.IntentValidator
import org.bronzetide.model.JsonFormats
import org.bronzetide.model.Plan
import org.bronzetide.model.Planner
import org.bronzetide.model.StructureValidator
import org.bronzetide.model.ValidationError
import org.bronzetide.node.documents.CONFIG_KEY
import org.bronzetide.platform.ConditionalUpdate
import org.bronzetide.platform.ObjectStore
import org.bronzetide.platform.ReadResult

/** Plans intents, and confirms plans by conditional updates of the configuration object. */
internal class ConfigurationService(
    private val store: ObjectStore,
    private val current: () -> Configuration,
    private val onConfirmed: suspend (Configuration) -> Unit
) {
    private val backoff = Backoff(FIRST_RETRY_MS, MAX_RETRY_MS, Random.Default)
    private val updates = ConditionalUpdate(store) { delay(backoff.nextDelayMs()) }

    /** Returns a plan for the intent in [text], JSON with comments, or every error in it. */
    fun plan(text: String): PlanResponse {
        val element: JsonElement = try {
            JsonFormats.settings.parseToJsonElement(text)
        } catch (cause: SerializationException) {
            val message = cause.message.orEmpty().lineSequence().first()
            return PlanResponse(faults = listOf(ValidationError("intent", message)))
        }
        val structure = StructureValidator.validate(element, Intent.serializer().descriptor)
        if (structure.isNotEmpty()) return PlanResponse(faults = structure)
        val intent = JsonFormats.settings.decodeFromJsonElement(Intent.serializer(), element)
        val base = current()
        val errors = IntentValidator.validate(intent, base)
        if (errors.isNotEmpty()) return PlanResponse(faults = errors)
        return PlanResponse(plan = Planner.plan(intent, base, UUID.randomUUID().toString()))
    }

    /** Applies [plan], unless objects that it changes have changed since it was made. */
    suspend fun confirm(plan: Plan): ConfirmResponse {
        backoff.reset()
        repeat(MAX_ATTEMPTS) {
            val (base, storeVersion) = readBase() ?: return ConfirmResponse.unavailable()
            when (val result = Planner.apply(plan, base)) {
                is ConfirmResult.Applied -> write(result.configuration, storeVersion)?.let {
                    return it
                }

                is ConfirmResult.AlreadyDone -> {
                    onConfirmed(base)
                    return ConfirmResponse("already-done", result.version)
                }

                is ConfirmResult.Conflict ->
                    return ConfirmResponse(
                        "conflict",
                        result.version,
                        differences = result.differences
                    )

                is ConfirmResult.Invalid ->
                    return ConfirmResponse("invalid", faults = result.errors)
            }
            delay(backoff.nextDelayMs())
        }
        return ConfirmResponse.unavailable()
    }

    private suspend fun readBase(): Pair<Configuration, Long>? =
        when (val read = store.read(CONFIG_KEY)) {
            is ReadResult.Found ->
                JsonFormats.wire.decodeFromString(Configuration.serializer(), read.stored.value) to
                    read.stored.version

            is ReadResult.Missing -> Configuration() to 0L

            else -> null
        }

    /** Returns the response, or `null` if nothing was written and the plan must be retried. */
    private suspend fun write(next: Configuration, storeVersion: Long): ConfirmResponse? {
        val text = JsonFormats.wire.encodeToString(Configuration.serializer(), next)
        return when (val result = updates.write(CONFIG_KEY, text, storeVersion)) {
            is ConditionalUpdate.Result.Done -> {
                onConfirmed(next)
                ConfirmResponse("confirmed", next.version)
            }

            is ConditionalUpdate.Result.Conflict, is ConditionalUpdate.Result.NotDone -> null

            is ConditionalUpdate.Result.Unknown -> ConfirmResponse("unknown", next.version)
        }
    }

    private companion object {
        const val FIRST_RETRY_MS = 50L
        const val MAX_RETRY_MS = 1_000L
        const val MAX_ATTEMPTS = 20
    }
}

/** A plan, or the errors in the intent that prevent one. */
@Serializable
data class PlanResponse(val plan: Plan? = null, val faults: List<ValidationError> = emptyList())

/** The result of confirming a plan. */
@Serializable
data class ConfirmResponse(
    /** `confirmed`, `already-done`, `conflict`, `invalid`, `unavailable` or `unknown`. */
    val result: String,
    val version: Long = 0,
    /** For a conflict: the objects as the plan expected them, and as they are now. */
    val differences: List<Plan.Change> = emptyList(),
    val faults: List<ValidationError> = emptyList()
) {
    companion object {
        /**
         * The store was unavailable, or other changes took effect first at every attempt. This call
         * changed nothing.
         */
        fun unavailable() = ConfirmResponse("unavailable")
    }
}
