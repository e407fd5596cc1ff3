package org.bronzetide.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.KSerializer
import org.bronzetide.model.JsonFormats
import org.bronzetide.platform.PlatformClients

/** A command that calls a node's operators' interface. */
abstract class OperatorCommand(name: String) : CliktCommand(name) {
    private val url by option("--url", envvar = "BRONZETIDE_URL", help = "a node's base URL")
        .default("http://127.0.0.1:8080")
    private val key by option(
        "--key",
        envvar = "BRONZETIDE_KEY",
        help = "the operator's key; better set in the environment than on the command line"
    ).default("")

    /** Whether the output is one JSON object. */
    protected val isJson: Boolean by option("--json", help = "print one JSON object").flag()

    /** Does the command's work. */
    protected abstract suspend fun execute(client: OperatorClient)

    override fun run() {
        PlatformClients.create().use { http ->
            try {
                runBlocking { execute(OperatorClient(http, url.trimEnd('/'), key)) }
            } catch (cause: OperatorRequestException) {
                echo(cause.message, err = true)
                throw ProgramResult(ExitCodes.INVALID)
            } catch (cause: java.io.IOException) {
                echo("$url cannot be reached: ${cause.message}", err = true)
                throw ProgramResult(ExitCodes.UNAVAILABLE)
            }
        }
    }

    /** Prints [value] as JSON. */
    protected fun <T> echoJson(serializer: KSerializer<T>, value: T) =
        echo(JsonFormats.wire.encodeToString(serializer, value))
}
