package org.bronzetide.edge

import java.io.File
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlin.system.exitProcess
import kotlinx.coroutines.runBlocking
import org.bronzetide.platform.fleet.HostSettings
import org.bronzetide.platform.fleet.SettingsException

private const val SETTINGS_VARIABLE = "BRONZETIDE_NODE_FILE"
private const val BAD_SETTINGS = 2

/**
 * Runs a process on an entry host of the platform.
 *
 * The settings file is named by the environment variable `BRONZETIDE_NODE_FILE`. With `--check` the
 * settings are only validated. SIGTERM stops the process as planned.
 */
public fun main(arguments: Array<String>) {
    val settings = readSettings() ?: exitProcess(BAD_SETTINGS)
    if ("--check" in arguments) return
    val node = EdgeNode(settings)
    val stopped = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        thread(start = false, name = "stop") {
            runBlocking { node.drain() }
            node.close()
            stopped.countDown()
        }
    )
    runBlocking { node.start() }
    stopped.await()
}

private fun readSettings(): HostSettings? {
    val path = System.getenv(SETTINGS_VARIABLE)
    return try {
        HostSettings.parse(File(path ?: throw SettingsException(listOf("$SETTINGS_VARIABLE is not set"))).readText())
    } catch (cause: SettingsException) {
        cause.faults.forEach { System.err.println("settings: $it") }
        null
    } catch (cause: java.io.IOException) {
        System.err.println("settings: ${cause.message}")
        null
    }
}
