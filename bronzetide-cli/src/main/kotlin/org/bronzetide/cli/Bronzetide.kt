package org.bronzetide.cli

import com.github.ajalt.clikt.completion.CompletionCommand
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** The root command of the operators' command line. */
class Bronzetide : CliktCommand("bronzetide") {
    override fun help(context: Context): String =
        """
        Drives bronzetide: state an intent, see its plan, confirm it.

        Exit codes: 0 done, 1 node or store unavailable, 2 invalid input, 3 conflict with another
        operator's change, 4 outcome not known.
        """.trimIndent()

    override fun run() = Unit
}

/** Runs the operators' command line. */
fun main(args: Array<String>) = Bronzetide()
    .subcommands(
        PlanCommand(),
        ConfirmCommand(),
        GetCommand(),
        StatusCommand(),
        InvoiceCommand(),
        ExplainCommand(),
        DigestCommand(),
        DevCommand(),
        CompletionCommand()
    )
    .main(args)
