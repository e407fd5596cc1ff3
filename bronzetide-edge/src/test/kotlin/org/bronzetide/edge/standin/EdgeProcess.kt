package org.bronzetide.edge.standin

import java.io.File
import java.util.concurrent.TimeUnit

/**
 * A process of an entry host that runs the command of `deploy/system.toml`, with the classes of the
 * tests' class path. Its settings file is [settings], its output is appended to [log].
 *
 * With [ignoresHangUp] its parent ignores SIGHUP, as `docs/operations/platform.md` tells operators
 * to arrange.
 */
class EdgeProcess(
    private val settings: File,
    private val log: File,
    ignoresHangUp: Boolean = false,
    arguments: List<String> = emptyList()
) : AutoCloseable {
    private val process: Process = run {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val classPath = listOf("-cp", System.getProperty("java.class.path"), MAIN_CLASS)
        val command = listOf(java) + flags + classPath + arguments
        val shell = listOf("sh", "-c", "trap '' HUP; exec \"$@\"", "sh")
        ProcessBuilder(if (ignoresHangUp) shell + command else command)
            .apply { environment()["BRONZETIDE_NODE_FILE"] = settings.path }
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start()
    }

    val isRunning: Boolean get() = process.isAlive

    /** What the process has written so far. */
    val output: String get() = log.readText()

    /** Sends the signal [name], such as TERM, HUP, STOP or CONT, to the process. */
    fun signal(name: String) {
        if (!process.isAlive) return
        ProcessBuilder("kill", "-$name", process.pid().toString())
            .start()
            .waitFor(WAIT_MS, TimeUnit.MILLISECONDS)
    }

    /** Waits up to [timeoutMs] for the process to exit; returns its status, or `null` then. */
    fun awaitExit(timeoutMs: Long = WAIT_MS): Int? =
        if (process.waitFor(timeoutMs, TimeUnit.MILLISECONDS)) process.exitValue() else null

    /** Kills the process and waits until it has exited. */
    override fun close() {
        process.destroyForcibly().waitFor(WAIT_MS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val MAIN_CLASS = "org.bronzetide.edge.EdgeKt"
        const val WAIT_MS = 12_000L

        /** The flags of the deployed command, except the archive of the deployed class path. */
        val flags: List<String> = run {
            val deployment = generateSequence(File("").absoluteFile) { it.parentFile }
                .map { File(it, "deploy/system.toml") }
                .first { it.exists() }
            val run = deployment.readLines().single { it.startsWith("run = ") }
            run.substringAfter('"').substringBefore('"').split(' ')
                .filter { it.startsWith("-X") && !it.startsWith("-XX:SharedArchiveFile") }
        }
    }
}
