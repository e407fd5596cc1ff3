package org.bronzetide.edge

import java.nio.file.Files
import java.util.concurrent.TimeUnit
import kotlin.system.measureTimeMillis
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment

/** A running node whose settings file cannot be read at once, as on a file system that hangs. */
class SettingsWatchTest {
    /** Guards against a process that answers nobody while it reads its settings again. */
    @Example
    fun nodeServesAndStopsWhileTheReadingOfItsSettingsBlocks() {
        val directory = Files.createTempDirectory("settings-watch-").toFile()
        val pipe = directory.resolve("local.conf")
        val made = ProcessBuilder("mkfifo", pipe.path).start()
        assertThat(made.waitFor(LIMIT_MS, TimeUnit.MILLISECONDS)).isTrue()
        EdgeTestEnvironment().use { environment ->
            environment.startSoundTarget("t1")
            environment.writeManifest()
            // To open a pipe blocks until another program writes to it.
            environment.node.settingsFile = SettingsFile(pipe.path)
            environment.start()
            Thread.sleep(BEYOND_THE_FIRST_LOOK_MS)
            assertThat(environment.ask("/safe/").status).isEqualTo(200)
            val stopMs = measureTimeMillis {
                runBlocking { environment.node.drain() }
                environment.node.close()
            }
            assertThat(stopMs).isLessThan(LIMIT_MS)
        }
        directory.deleteRecursively()
    }

    private companion object {
        const val BEYOND_THE_FIRST_LOOK_MS = 1_500L
        const val LIMIT_MS = 10_000L
    }
}
