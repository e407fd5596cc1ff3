package org.bronzetide.edge

import ch.qos.logback.classic.LoggerContext
import io.ktor.network.selector.SelectorManager
import java.io.File
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlin.system.exitProcess
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.bronzetide.platform.fleet.HostSettings
import org.bronzetide.platform.fleet.SettingsException
import org.slf4j.LoggerFactory
import sun.misc.Signal

private const val BAD_SETTINGS = 2
private const val BUILD_REQUESTS = 200
private const val BUILD_LIMIT_MS = 20_000L

/**
 * Runs a process on an entry host of the platform.
 *
 * The settings file is named by the environment variable [HostSettings.FILE_VARIABLE]. With `--check` the
 * settings are only validated; with `--rehearse` the process sends itself requests and ends, which
 * the build uses to record the classes for the class-data archive. SIGTERM stops the process as
 * planned, SIGHUP rereads the settings; a file with faults changes nothing.
 */
public fun main(arguments: Array<String>) {
    if ("--rehearse" in arguments) return rehearse()
    val settings = readSettings() ?: exitProcess(BAD_SETTINGS)
    if ("--check" in arguments) return
    val node = EdgeNode(settings)
    val stopped = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        thread(start = false, name = "stop") {
            runBlocking { node.drain() }
            node.close()
            (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
            stopped.countDown()
        }
    )
    Signal.handle(Signal("HUP")) { readSettings()?.let(node::reload) }
    runBlocking { node.start() }
    stopped.await()
}

private fun rehearse() = runBlocking {
    SelectorManager(Dispatchers.IO).use { Rehearsal(it).run(BUILD_REQUESTS, BUILD_LIMIT_MS) }
}

private fun readSettings(): HostSettings? {
    val path = System.getenv(HostSettings.FILE_VARIABLE)
    return try {
        if (path == null) throw SettingsException(listOf("${HostSettings.FILE_VARIABLE} is not set"))
        HostSettings.parse(File(path).readText())
    } catch (cause: SettingsException) {
        cause.faults.forEach { System.err.println("settings: $it") }
        null
    } catch (cause: java.io.IOException) {
        System.err.println("settings: ${cause.message}")
        null
    }
}
