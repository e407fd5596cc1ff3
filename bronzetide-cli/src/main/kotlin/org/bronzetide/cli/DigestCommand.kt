package org.bronzetide.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import org.bronzetide.node.entry.KeyDigest

/** `bronzetide digest`: prints the digest that intents and settings store instead of a key. */
class DigestCommand : CliktCommand("digest") {
    override fun help(context: Context): String =
        "Reads a bearer key from standard input and prints the digest for intents and settings."

    override fun run() {
        val key = readlnOrNull()?.trim().orEmpty()
        if (key.isEmpty()) throw com.github.ajalt.clikt.core.UsageError("no key on standard input")
        echo(KeyDigest.of(key))
    }
}
