package org.bronzetide.edge

import java.io.File
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.http.TrafficLoop

/** The rehearsal of a start, which is part of the build. */
class StartRehearsalTest {
    /** Guards against a build that never ends, as another program uses a port of the rehearsal. */
    @Example
    fun rehearsalEndsThoughOneOfItsAddressesStaysInUse() {
        val heldPort = EdgeTestEnvironment.freePort()
        ServerSocket(heldPort, 1, InetAddress.getByName("127.0.0.1")).use {
            TrafficLoop().use { traffic ->
                val end = runBlocking {
                    withTimeoutOrNull(LIMIT_MS) { StartRehearsal(traffic).run(heldPort - 2) }
                }
                assertThat(end).isNotNull()
            }
        }
    }

    /** Guards against starts that are slow for a cause which no line names. */
    @Example
    fun failedRehearsalIsLoggedBeforeTheProcessEnds() {
        val directory = Files.createTempDirectory("rehearsal-").toFile()
        val output = File(directory, "output")
        // The rehearsal has no place for its settings file.
        val command = listOf(
            File(System.getProperty("java.home"), "bin/java").path,
            "-Djava.io.tmpdir=${File(directory, "missing")}",
            "-cp",
            System.getProperty("java.class.path"),
            "org.bronzetide.edge.EdgeKt",
            "--rehearse"
        )
        val process = ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(output)
            .start()
        try {
            assertThat(process.waitFor(PROCESS_LIMIT_MS, TimeUnit.MILLISECONDS)).isTrue()
            assertThat(process.exitValue()).isZero()
            assertThat(output.readText()).contains("rehearsal of a start failed")
        } finally {
            process.destroyForcibly()
            directory.deleteRecursively()
        }
    }

    private companion object {
        const val PROCESS_LIMIT_MS = 40_000L
        const val LIMIT_MS = 12_000L
    }
}
