package org.bronzetide.cli

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import java.io.File
import kotlinx.serialization.SerializationException
import org.bronzetide.model.ConfigObject
import org.bronzetide.model.Configuration
import org.bronzetide.model.JsonFormats
import org.bronzetide.model.Plan
import org.bronzetide.model.ValidationError
import org.bronzetide.node.operator.ConfirmResponse
import org.bronzetide.node.operator.PlanResponse

/** `bronzetide plan`: shows what an intent would change, and writes the plan to a file. */
class PlanCommand : OperatorCommand("plan") {
    private val intent by argument(
        "INTENT",
        help = "the intent, JSON with comments"
    ).file(mustExist = true)
    private val output by option("--out", help = "where to keep the plan for confirm").file()

    override fun help(context: Context): String =
        "Shows what an intent would change, and keeps the plan for confirm. Nothing takes effect."

    override suspend fun execute(client: OperatorClient) {
        val response = client.plan(intent.readText())
        if (isJson) echoJson(PlanResponse.serializer(), response)
        val plan = response.plan ?: return reject(response.faults)
        val file = output ?: File(intent.path.removeSuffix(".json") + ".plan.json")
        file.writeText(JsonFormats.settings.encodeToString(Plan.serializer(), plan))
        if (isJson) return
        if (plan.changes.isEmpty()) echo("nothing to change at version ${plan.baseVersion}")
        plan.changes.forEach { change ->
            echo("${change.action} ${change.name}")
            change.before?.let { echo("  - ${text(it)}") }
            change.after?.let { echo("  + ${text(it)}") }
        }
        plan.effects.forEach { echo("effect: $it") }
        echo("to confirm: bronzetide confirm $file")
    }

    private fun text(value: ConfigObject) =
        JsonFormats.wire.encodeToString(ConfigObject.serializer(), value)

    private fun reject(errors: List<ValidationError>) {
        if (!isJson) errors.forEach { echo("${it.path}: ${it.message}", err = true) }
        throw ProgramResult(ExitCodes.INVALID)
    }
}

/** `bronzetide confirm`: applies a plan from a file. */
class ConfirmCommand : OperatorCommand("confirm") {
    private val file by argument(
        "PLAN",
        help = "the plan that `bronzetide plan` kept"
    ).file(mustExist = true)

    override fun help(context: Context): String =
        "Makes a plan take effect. Confirming the same plan again is safe: it says that it is done."

    override suspend fun execute(client: OperatorClient) {
        val response = client.confirm(readPlan())
        if (isJson) echoJson(ConfirmResponse.serializer(), response) else show(response)
        when (response.result) {
            "confirmed", "already-done" -> Unit
            "conflict" -> throw ProgramResult(ExitCodes.CONFLICT)
            "invalid" -> throw ProgramResult(ExitCodes.INVALID)
            "unknown" -> throw ProgramResult(ExitCodes.UNKNOWN)
            else -> throw ProgramResult(ExitCodes.UNAVAILABLE)
        }
    }

    private fun readPlan(): Plan = try {
        JsonFormats.settings.decodeFromString(Plan.serializer(), file.readText())
    } catch (cause: SerializationException) {
        throw OperatorRequestException(
            listOf(ValidationError(file.path, cause.message.orEmpty().lineSequence().first()))
        )
    }

    private fun show(response: ConfirmResponse) {
        when (response.result) {
            "confirmed" -> echo("confirmed as version ${response.version}")
            "already-done" -> echo("was confirmed before, as version ${response.version}")
            "conflict" -> echo(
                "refused: changed by somebody else since the plan was made",
                err = true
            )
            "invalid" -> echo("refused: invalid together with later changes", err = true)
            "unknown" -> echo("not known: the store's answer was lost; confirm again", err = true)
            else -> echo("the platform's store does not answer; nothing was changed", err = true)
        }
        response.differences.forEach { change ->
            echo("${change.name}\n  planned on ${change.before}\n  now ${change.after}", err = true)
        }
        response.faults.forEach { echo("${it.path}: ${it.message}", err = true) }
    }
}

/** `bronzetide get`: shows the configuration in force, or the objects of one name or kind. */
class GetCommand : OperatorCommand("get") {
    private val name by argument(
        "NAME",
        help = "an object such as caller/line-3, or a kind"
    ).optional()

    override fun help(context: Context): String =
        "Shows the configuration in force, or a part of it."

    override suspend fun execute(client: OperatorClient) {
        val current = client.configuration()
        val requestedName = name
        val found = current.objects.filterKeys {
            requestedName == null ||
                it == requestedName ||
                it.startsWith("$requestedName/")
        }
        if (requestedName != null && found.isEmpty()) {
            echo("there is no $requestedName", err = true)
            throw ProgramResult(ExitCodes.INVALID)
        }
        if (isJson) return echoJson(Configuration.serializer(), current.copy(objects = found))
        echo("version ${current.version}")
        found.toSortedMap().forEach { (key, value) ->
            echo("$key ${JsonFormats.wire.encodeToString(ConfigObject.serializer(), value)}")
        }
    }
}
