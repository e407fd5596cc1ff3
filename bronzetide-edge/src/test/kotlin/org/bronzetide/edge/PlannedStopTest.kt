package org.bronzetide.edge

import java.net.Socket
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.Future
import kotlin.concurrent.thread
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment

/**
 * A planned stop whose grace time ends before some requests do. Guards against requests that are
 * taken and then cut off without an answer.
 */
class PlannedStopTest {
    private val environment = EdgeTestEnvironment("bounds.grace_s=4.5")
    private val callers = Executors.newCachedThreadPool()

    @AfterTry
    fun close() {
        callers.shutdownNow()
        environment.close()
    }

    @Example
    fun requestInProgressAtTheEndOfTheGraceTimeIsAnswered() {
        startWithSilentTarget()
        val stop = stopNode()
        Thread.sleep(2_700)
        val running = ask()
        stop.join()
        assertThat(running.get()).isEqualTo(502)
    }

    @Example
    fun requestThatWaitsUnsentAtTheEndOfTheGraceTimeIsRefused() {
        startWithSilentTarget()
        val stop = stopNode()
        Thread.sleep(2_700)
        val statuses = List(SLOTS + 4) { ask() }
        stop.join()
        assertThat(statuses.map { it.get() }).containsOnly(502, 503)
        assertThat(statuses.count { it.get() == 502 }).isEqualTo(environment.arrivals.size)
    }

    @Example
    fun requestWhoseBodyEndsAfterIdleConnectionsAreClosedIsRefused() {
        startWithSilentTarget()
        val stop = stopNode()
        Socket("127.0.0.1", environment.settings.callerAddress.port).use { socket ->
            Thread.sleep(2_700)
            val head = "POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: late\r\n" +
                "X-Api-Key: key-1\r\nContent-Length: 4\r\n\r\nbo"
            socket.getOutputStream().write(head.encodeToByteArray())
            Thread.sleep(600)
            socket.getOutputStream().write("dy".encodeToByteArray())
            val line = socket.getInputStream().bufferedReader().readLine()
            assertThat(line).startsWith("HTTP/1.1 503")
        }
        stop.join()
        assertThat(environment.arrivals).isEmpty()
    }

    private fun startWithSilentTarget() {
        environment.startTarget("t1") { _, _ ->
            delay(10_000)
            false
        }
        environment.writeManifest()
        environment.start()
    }

    private fun stopNode(): Thread = thread {
        runBlocking { environment.node.drain() }
        environment.node.close()
    }

    /** The status of a request whose time is over after the process. */
    private fun ask(): Future<Int> = callers.submit(Callable { environment.ask("/safe/").status })

    private companion object {
        const val SLOTS = 8
    }
}
