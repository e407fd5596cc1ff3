package org.bronzetide.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.coroutines.runBlocking
import org.bronzetide.platform.PlatformClients

/**
 * `bronzetide explain`: shows where a host on the users' platform would send a request now, and
 * why, without sending it. It ends with [ExitCodes.INVALID] if an argument is missing or invalid,
 * and with [ExitCodes.UNAVAILABLE] if the host does not answer.
 */
class ExplainCommand : CliktCommand("explain") {
    private val host by option("--host", help = "control address of a host, IP:PORT")
    private val requestHost by option("--request-host", help = "the request's Host header")
    private val path by option("--path", help = "the request's path")
    private val method by option("--method", help = "the request's method").default("GET")
    private val key by option(
        "--key",
        envvar = "BRONZETIDE_CALLER_KEY",
        help = "the caller's API key; better set in the environment than on the command line"
    )
    private val promptTokens by option("--prompt-tokens", help = "tokens of the prompt")
    private val maxOutputTokens by option("--max-output-tokens", help = "most tokens of the output")
    private val isJson by option("--json", help = "print one JSON object").flag()

    override fun help(context: Context): String =
        "Shows where a host would send a request now, and why. Nothing is sent or used up."

    override fun run() {
        val address = address()
        val query = ExplainClient.Query(
            required(requestHost, "--request-host"),
            required(path, "--path").also {
                if (!it.startsWith("/")) fail("--path must begin with a slash")
            },
            method.uppercase(),
            key,
            tokens(promptTokens, "--prompt-tokens"),
            tokens(maxOutputTokens, "--max-output-tokens")
        )
        val answer = ask(address, query)
        if (isJson) return echo(answer.json)
        ExplanationText.lines(answer.explanation).forEach { echo(it) }
    }

    private fun ask(address: String, query: ExplainClient.Query): ExplainClient.Answer = try {
        PlatformClients.create().use { http ->
            runBlocking { ExplainClient(http, address).explain(query) }
        }
    } catch (cause: ExplainClient.InvalidQueryException) {
        fail(cause.message.orEmpty())
    } catch (cause: java.io.IOException) {
        echo("$address does not answer: ${cause.message}", err = true)
        throw ProgramResult(ExitCodes.UNAVAILABLE)
    }

    private fun address(): String {
        val address = required(host, "--host")
        val port = address.substringAfterLast(':', "").toIntOrNull()
        if (port == null || port !in 1..MAX_PORT || address.substringBeforeLast(':').isEmpty()) {
            fail("--host must be IP:PORT, not '$address'")
        }
        return address
    }

    private fun tokens(text: String?, name: String): Int? = text?.let {
        it.toIntOrNull()?.takeIf { count -> count >= 0 }
            ?: fail("$name must be a whole number, 0 or more, not '$it'")
    }

    private fun required(value: String?, name: String): String =
        value?.takeIf { it.isNotEmpty() } ?: fail("$name is missing")

    private fun fail(message: String): Nothing {
        echo(message, err = true)
        throw ProgramResult(ExitCodes.INVALID)
    }

    private companion object {
        const val MAX_PORT = 65_535
    }
}
