package org.bronzetide.edge

import ch.qos.logback.classic.LoggerContext
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicReference
import kotlin.concurrent.thread
import kotlin.system.exitProcess
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.yield
import org.bronzetide.http.TrafficLoop
import org.bronzetide.platform.fleet.HostSettings
import org.bronzetide.scheduling.fleet.HedgingShare
import org.slf4j.LoggerFactory
import sun.misc.Signal

private const val EXIT_START_FAILED = 1
private const val EXIT_INVALID_SETTINGS = 2
private const val HEDGING_SHARE = "--hedging-share"
private const val ARCHIVE_WARM_UP_REQUESTS = 200
private const val ARCHIVE_WARM_UP_LIMIT_MS = 20_000L

/** Below the ports that systems assign by themselves; builds may run beside each other. */
private val rehearsalPorts = 20_000..30_000

/**
 * Runs the process of an entry host with the settings file that the environment variable
 * [HostSettings.FILE_VARIABLE] names.
 *
 * `--hedging-share=N` lets the share N of each service's requests, from 0 to 1, be sent to a second
 * target while the first one is slow; it is 0 by default.
 *
 * `--check` only validates the settings. `--rehearse` runs a [WarmUp] and a [StartRehearsal] and
 * exits, so that the build can record the loaded classes in the class-data archive.
 *
 * SIGTERM drains and stops the process. SIGHUP reloads the settings, as does a change of the file;
 * an invalid file changes nothing.
 */
public fun main(arguments: Array<String>) {
    val current = AtomicReference<EdgeNode>()
    // Installed before anything else, because an unhandled SIGHUP terminates the JVM.
    Signal.handle(Signal("HUP")) { current.get()?.rereadSettings() }
    if ("--rehearse" in arguments) return rehearse()
    val isCheck = "--check" in arguments
    val file = SettingsFile(System.getenv(HostSettings.FILE_VARIABLE))
    val settings = reportErrors(if (isCheck) file.read() else file.awaitValid())
    val hedgingShare = readHedgingShare(arguments)
    if (settings == null || hedgingShare == null) exitProcess(EXIT_INVALID_SETTINGS)
    if (isCheck) return
    val node = EdgeNode(settings, hedgingShare)
    node.settingsFile = file
    current.set(node)
    val stopped = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        thread(start = false, name = "stop") {
            runBlocking { node.drain() }
            node.close()
            stopLog()
            stopped.countDown()
        }
    )
    try {
        runBlocking { node.start() }
    } catch (cause: IOException) {
        System.err.println("start: ${cause.message}")
        exitProcess(EXIT_START_FAILED)
    } catch (_: CancellationException) {
        // A signal has closed the node meanwhile.
    }
    stopped.await()
}

private fun rehearse() {
    TrafficLoop().use { traffic ->
        runBlocking(traffic) {
            // A start also uses an event loop of its own thread.
            withContext(Dispatchers.IO) { runBlocking { yield() } }
            WarmUp(traffic).run(ARCHIVE_WARM_UP_REQUESTS, ARCHIVE_WARM_UP_LIMIT_MS)
            StartRehearsal(traffic).run(rehearsalPorts.random())
        }
    }
    stopLog()
}

/** Writes the lines that are queued, which the end of the process would drop. */
private fun stopLog() = (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()

/**
 * Reads the share of requests that may be hedged; reports an invalid one on standard error and
 * returns `null` then.
 */
internal fun readHedgingShare(arguments: Array<String>): HedgingShare? {
    val given = arguments.filter { it.substringBefore('=') == HEDGING_SHARE }
    if (given.isEmpty()) return HedgingShare.OFF
    val share = given.singleOrNull()?.substringAfter('=', "")?.let(HedgingShare::parseOrNull)
    if (share == null) {
        System.err.println(
            "arguments: $HEDGING_SHARE must be given once with a decimal number from 0 to 1, " +
                "as in $HEDGING_SHARE=0.02, not '${given.joinToString(" ")}'"
        )
    }
    return share
}

/** The settings of [reading]; reports errors on standard error and returns `null` then. */
internal fun reportErrors(reading: SettingsFile.Reading): HostSettings? = when (reading) {
    is SettingsFile.Reading.Valid -> reading.settings

    is SettingsFile.Reading.Invalid -> {
        reading.errors.forEach { System.err.println("settings: $it") }
        null
    }
}
