package org.bronzetide.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import org.bronzetide.node.entry.KeyDigest

/** `bronzetide digest`: makes the digest under which a key is configured. */
class DigestCommand : CliktCommand("digest") {
    override fun help(context: Context): String =
        "Reads a bearer key from standard input and prints the digest for intents and settings."

    override fun run() {
        val key = readlnOrNull()?.trim().orEmpty()
        if (key.isEmpty()) throw com.github.ajalt.clikt.core.UsageError("no key on standard input")
        echo(KeyDigest.of(key))
    }
}
