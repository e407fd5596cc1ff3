package org.bronzetide.node

import java.io.File
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.util.concurrent.TimeUnit
import net.jqwik.api.Example

/** Runs of the command line as a process of its own. */
class NodeProcessTest {
    /** Guards against a supervisor that takes a node which could not start for a planned stop. */
    @Example
    fun `a node whose port is in use ends with status 1 and names the port`() {
        val directory = Files.createTempDirectory("node-process-").toFile()
        val held = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))
        val settings = File(directory, "node.json")
        settings.writeText(
            """
            {"name": "n", "zone": "z", "port": ${held.localPort}, "peerPort": 0,
             "objectApiUrl": "http://127.0.0.1:1", "hostListUrl": "http://127.0.0.1:1",
             "clusterKey": "sixteen-characters"}
            """
        )
        val log = File(directory, "log")
        val process = start(settings, log)
        try {
            check(process.waitFor(LIMIT_S, TimeUnit.SECONDS)) { "runs: ${log.readText()}" }
            check(process.exitValue() == 1) { "${process.exitValue()}: ${log.readText()}" }
            check("port ${held.localPort}:" in log.readText()) { log.readText() }
        } finally {
            process.destroyForcibly()
            held.close()
            directory.deleteRecursively()
        }
    }

    private fun start(settings: File, log: File): Process {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val classPath = System.getProperty("java.class.path")
        return ProcessBuilder(java, "-cp", classPath, MAIN_CLASS, "--settings", settings.path)
            .redirectErrorStream(true)
            .redirectOutput(log)
            .start()
    }

    private companion object {
        const val MAIN_CLASS = "org.bronzetide.node.BronzetidedKt"
        const val LIMIT_S = 30L
    }
}
