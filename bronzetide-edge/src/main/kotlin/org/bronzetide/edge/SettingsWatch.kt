package org.bronzetide.edge

import kotlin.concurrent.thread
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.platform.fleet.HostSettings

/**
 * Looks each second whether [file] has changed and calls [onChange] with valid settings.
 *
 * On a thread of its own: to look at a file may block for as long as the file system does, and a
 * host decides on requests meanwhile.
 */
internal class SettingsWatch(
    private val file: SettingsFile,
    private val log: DecisionLog,
    private val onChange: (HostSettings) -> Unit
) : AutoCloseable {
    @Volatile
    private var isOpen = true
    private val thread = thread(start = false, isDaemon = true, name = "settings") {
        while (isOpen) look()
    }

    fun start() = thread.start()

    /** Reads the file, whether it has changed or not. Blocks the thread. */
    fun reread() = apply(file.read())

    override fun close() {
        isOpen = false
        thread.interrupt()
    }

    private fun look() = try {
        Thread.sleep(INTERVAL_MS)
        file.readIfChanged()?.let(::apply)
    } catch (_: InterruptedException) {
        // Closed.
    } catch (cause: Throwable) {
        // Nothing would start this thread again.
        log.failure("looking at the settings failed", cause)
    }

    private fun apply(reading: SettingsFile.Reading) = when (reading) {
        is SettingsFile.Reading.Valid -> onChange(reading.settings)

        is SettingsFile.Reading.Invalid ->
            log.failure("settings not usable", null, "errors" to reading.errors)
    }

    private companion object {
        const val INTERVAL_MS = 1_000L
    }
}
