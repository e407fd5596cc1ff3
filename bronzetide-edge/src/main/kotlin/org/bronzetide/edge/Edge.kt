package org.bronzetide.edge

import ch.qos.logback.classic.LoggerContext
import java.io.File
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicReference
import kotlin.concurrent.thread
import kotlin.system.exitProcess
import kotlinx.coroutines.runBlocking
import org.bronzetide.http.TrafficLoop
import org.bronzetide.platform.fleet.HostSettings
import org.bronzetide.platform.fleet.SettingsException
import org.slf4j.LoggerFactory
import sun.misc.Signal

private const val BAD_SETTINGS = 2
private const val BUILD_REQUESTS = 200
private const val BUILD_LIMIT_MS = 20_000L

/**
 * Runs a process on an entry host of the platform, with the settings that the environment names.
 *
 * With `--check` the settings are only validated; with `--rehearse` the process sends itself
 * requests and ends, by which the build records the classes for the class-data archive.
 *
 * SIGTERM stops the process as planned. SIGHUP rereads the settings; a file with faults changes
 * nothing.
 */
public fun main(arguments: Array<String>) {
    val current = AtomicReference<EdgeNode>()
    // First of all: until it is handled, the signal ends a Java process.
    Signal.handle(Signal("HUP")) { current.get()?.let { reload(it) } }
    if ("--rehearse" in arguments) return rehearse()
    val settings = readSettings() ?: exitProcess(BAD_SETTINGS)
    if ("--check" in arguments) return
    val node = EdgeNode(settings)
    current.set(node)
    val stopped = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        thread(start = false, name = "stop") {
            runBlocking { node.drain() }
            node.close()
            (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
            stopped.countDown()
        }
    )
    runBlocking { node.start() }
    stopped.await()
}

private fun reload(node: EdgeNode) {
    readSettings()?.let(node::reload)
}

private fun rehearse() = TrafficLoop().use { traffic ->
    runBlocking(traffic) { WarmUp(traffic).run(BUILD_REQUESTS, BUILD_LIMIT_MS) }
}

private fun readSettings(): HostSettings? {
    val path = System.getenv(HostSettings.FILE_VARIABLE)
    return try {
        if (path ==
            null
        ) {
            throw SettingsException(listOf("${HostSettings.FILE_VARIABLE} is not set"))
        }
        HostSettings.parse(File(path).readText())
    } catch (cause: SettingsException) {
        cause.errors.forEach { System.err.println("settings: $it") }
        null
    } catch (cause: java.io.IOException) {
        System.err.println("settings: ${cause.message}")
        null
    }
}
