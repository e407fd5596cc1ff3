package org.bronzetide.node

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import java.io.IOException
import java.util.concurrent.CountDownLatch
import kotlinx.coroutines.runBlocking

/** The command line that runs a node or checks its settings. */
internal class Bronzetided : CliktCommand(name = "bronzetided") {
    private val settingsFile by option("--settings", help = "the settings, JSON with comments")
        .file()
        .required()
    private val isCheckOnly by option("--check", help = "check the settings and end").flag()

    override fun help(context: Context): String =
        "Runs a node. Exit codes: 0 stopped as planned, 1 not started, or requests or ledger " +
            "lines were lost, 2 bad settings."

    override fun run() {
        when (val result = Settings.load(settingsFile)) {
            is SettingsResult.Invalid -> {
                result.errors.forEach { echo("${it.path}: ${it.message}", err = true) }
                throw ProgramResult(EXIT_BAD_SETTINGS)
            }

            is SettingsResult.Valid -> if (isCheckOnly) {
                echo("settings are valid")
            } else {
                serve(result.settings)
            }
        }
    }

    private fun serve(settings: Settings) {
        val node = Node(settings)
        val stopped = CountDownLatch(1)
        var exitCode = 0
        val shutdownHook = Thread {
            val isComplete = runBlocking { node.drain() }
            node.close()
            exitCode = if (isComplete) 0 else EXIT_INCOMPLETE
            stopped.countDown()
            Runtime.getRuntime().halt(exitCode)
        }
        Runtime.getRuntime().addShutdownHook(shutdownHook)
        try {
            node.start()
        } catch (cause: IOException) {
            echo("start: port ${settings.port}: ${cause.message}", err = true)
            // The hook would drain a node that has never served, and state a planned stop.
            Runtime.getRuntime().halt(EXIT_INCOMPLETE)
        }
        stopped.await()
    }

    private companion object {
        const val EXIT_INCOMPLETE = 1
        const val EXIT_BAD_SETTINGS = 2
    }
}

/** Runs a node. */
fun main(args: Array<String>) = Bronzetided().main(args)
