package org.bronzetide.edge

import java.io.File
import java.io.IOException
import java.net.Socket
import java.nio.file.Files
import java.nio.file.StandardCopyOption
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeProcess
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.edge.standin.StoreStandIn
import org.bronzetide.platform.fleet.HostSettings

/** Starts of real processes, with the flags of the deployed command, beside faults from outside. */
class ProcessStartTest {
    private val store = StoreStandIn()
    private val text = EdgeTestEnvironment.settingsText(store.port)
    private val port = HostSettings.parse(text).callerAddress.port
    private val directory = Files.createTempDirectory("process-start-").toFile()
    private val settings = File(directory, "local.conf").apply { writeText(text) }
    private val processes = ArrayList<EdgeProcess>()

    @AfterTry
    fun close() {
        processes.forEach { it.close() }
        store.close()
        directory.deleteRecursively()
    }

    /** Guards against a process that ends at its start, beside one that drains or dies slowly. */
    @Example
    fun processThatIsStartedWhileTheOneBeforeItDrainsServes() {
        val before = start()
        assertThat(awaitServing()).isTrue()
        before.signal("TERM")
        val after = start()
        assertThat(before.awaitExit()).isEqualTo(STATUS_OF_SIGTERM)
        assertThat(awaitServing()).describedAs(after.output).isTrue()
        assertThat(after.isRunning).isTrue()
    }

    /** Guards against a process that drains for seconds though it has never served. */
    @Example
    fun processThatWaitsForAnAddressEndsAtOnceOnSigterm() {
        start()
        assertThat(awaitServing()).isTrue()
        val waiting = start()
        awaitOutput(waiting, "in use")
        assertThat(waiting.output).contains("\"address\":\"127.0.0.1:")
        waiting.signal("TERM")
        assertThat(waiting.awaitExit(STOP_LIMIT_MS)).isEqualTo(STATUS_OF_SIGTERM)
        assertThat(waiting.output).doesNotContain("Exception in thread")
    }

    /** Guards against a process that ends at its start, while its settings are being written. */
    @Example
    fun settingsThatAreCutShortAtTheStartAreReadAgain() {
        for (cut in listOf(0, text.length / 2, text.indexOf("127.0.0.1:${store.port}") + 11)) {
            settings.writeText(text.take(cut))
            start().use { process ->
                Thread.sleep(800)
                settings.writeText(text)
                assertThat(awaitServing()).describedAs("$cut: ${process.output}").isTrue()
            }
        }
    }

    @Example
    fun settingsThatStayInvalidEndTheStartWithEachError() {
        settings.writeText("zone=z1\nplatform.address=nowhere\n")
        val process = start()
        assertThat(process.awaitExit()).isEqualTo(STATUS_OF_INVALID_SETTINGS)
        assertThat(process.output).contains("node_name is missing", "platform.address", "nowhere")
        val check = start(listOf("--check"))
        assertThat(check.awaitExit(CHECK_LIMIT_MS)).isEqualTo(STATUS_OF_INVALID_SETTINGS)
    }

    /** Guards against seeds of the past where a supervisor cannot send a signal. */
    @Example
    fun settingsThatChangeWithoutASignalAreApplied() {
        val process = start()
        awaitOutput(process, "\"started\"")
        val changed = text.replace("seeds=", "seeds=127.0.0.9:4001")
        replaceSettings(changed.take(changed.length / 3))
        process.signal("HUP")
        awaitOutput(process, "settings not usable")
        replaceSettings(changed)
        awaitOutput(process, "\"seeds\":[\"127.0.0.9:4001\"],\"needsRestart\":false")
        replaceSettings(changed.replace("zone=z1", "zone=z2"))
        awaitOutput(process, "\"needsRestart\":true")
        assertThat(process.output.split("settings not usable")).hasSize(2)
    }

    /** Guards against a process that ends at its start, as its settings have changed meanwhile. */
    @Example
    fun hangUpAtAnyMomentEndsNoProcessWhoseParentIgnoresIt() {
        val process = start(ignoresHangUp = true)
        while ("\"started\"" !in process.output) {
            process.signal("HUP")
            assertThat(process.isRunning).isTrue()
        }
        replaceSettings(text.replace("seeds=", "seeds=127.0.0.9:4001"))
        process.signal("HUP")
        awaitOutput(process, "\"seeds\":[\"127.0.0.9:4001\"]")
    }

    /** Replaces the file in one step, so that the process finds no other content meanwhile. */
    private fun replaceSettings(content: String) {
        val next = File(directory, "next.conf").apply { writeText(content) }
        Files.move(next.toPath(), settings.toPath(), StandardCopyOption.ATOMIC_MOVE)
    }

    private fun start(arguments: List<String> = emptyList(), ignoresHangUp: Boolean = false) =
        EdgeProcess(settings, File(directory, "log-${processes.size}"), ignoresHangUp, arguments)
            .also(processes::add)

    private fun awaitServing(): Boolean = await {
        try {
            Socket("127.0.0.1", port).close()
            true
        } catch (_: IOException) {
            false
        }
    }

    private fun awaitOutput(process: EdgeProcess, part: String) =
        assertThat(await { part in process.output }).describedAs(process.output).isTrue()

    private fun await(condition: () -> Boolean): Boolean {
        val untilNs = System.nanoTime() + WAIT_NS
        while (!condition()) {
            if (System.nanoTime() > untilNs) return false
            Thread.sleep(20)
        }
        return true
    }

    private companion object {
        const val STATUS_OF_INVALID_SETTINGS = 2
        const val STATUS_OF_SIGTERM = 143
        const val STOP_LIMIT_MS = 1_500L

        /** Less than what a start waits for the end of the writing. */
        const val CHECK_LIMIT_MS = 1_500L
        const val WAIT_NS = 12_000_000_000L
    }
}
