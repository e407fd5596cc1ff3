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

/**
 * A command that calls the operator API of a node. It ends with [ExitCodes.INVALID] if the node
 * rejects the call, and with [ExitCodes.UNAVAILABLE] if the node cannot be reached.
 */
abstract class OperatorCommand(name: String) : CliktCommand(name) {
    private val url by option("--url", envvar = "BRONZETIDE_URL", help = "a node's base URL")
        .default("http://127.0.0.1:8080")
    private val key by option(
        "--key",
        envvar = "BRONZETIDE_KEY",
        help = "the operator's key; better set in the environment than on the command line"
    ).default("")

    /** Whether the command prints one JSON object instead of text. */
    protected val isJson: Boolean by option("--json", help = "print one JSON object").flag()

    /**
     * Runs the command with [client].
     *
     * @throws OperatorRequestException if the node rejects the call
     * @throws java.io.IOException if the node cannot be reached
     */
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

    /** Prints [value] as JSON on one line. */
    protected fun <T> echoJson(serializer: KSerializer<T>, value: T) =
        echo(JsonFormats.wire.encodeToString(serializer, value))
}
