package org.bronzetide.edge.soak

import java.io.File
import java.net.BindException
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random
import org.bronzetide.edge.standin.EdgeProcess
import org.bronzetide.edge.standin.EdgeTestEnvironment

/**
 * An edge node that runs as a separate process, which a soak starts, signals and restarts. The
 * parent of its processes ignores SIGHUP if it is [shielded].
 */
class SoakNode(
    val name: String,
    val ip: String,
    private val ports: Ports,
    seedAddresses: String,
    private val directory: File,
    private val shielded: Boolean = false
) : AutoCloseable {
    /** The ports of the nodes of a soak; the nodes listen on different loopback addresses. */
    class Ports(
        val callers: Int,
        val ready: Int,
        val control: Int,
        val peers: Int,
        val store: Int
    ) {
        companion object {
            /** Different ports that are free now, for nodes before the store at [storePort]. */
            fun free(storePort: Int): Ports {
                val ports = EdgeTestEnvironment.freePorts(4)
                return Ports(ports[0], ports[1], ports[2], ports[3], storePort)
            }
        }
    }

    private val settings = File(directory, "$name.conf")
    private val text = """
        node_name=$name
        zone=z1
        ip=$ip
        listen.front=$ip:${ports.callers}
        listen.ready=$ip:${ports.ready}
        listen.control=$ip:${ports.control}
        inner_ports=${ports.peers},${ports.peers}
        seeds=$seedAddresses
        limits.cpu_share=1
        limits.memory_mb=200
        bounds.grace_s=8
        bounds.retry_slack=56
        platform.address=127.0.0.1:${ports.store}
    """.trimIndent() + "\n"

    private var process: EdgeProcess? = null
    private var startCount = 0
    private var startedAtNs = 0L
    private var hasEarlyHangUp = false

    val isRunning: Boolean get() = process?.isRunning == true

    /** How the process ended, unless SIGHUP may do that: before the handler is installed. */
    val unexpectedEnd: String?
        get() {
            val status = process?.awaitExit(0) ?: return null
            val isExcused = hasEarlyHangUp && !shielded && status in STATUSES_OF_HANG_UP
            return if (isExcused) null else "$name-$startCount ended with status $status"
        }

    /** Writes the settings file and starts the process, with a new log file each time. */
    fun start(settingsText: String = text) {
        settings.writeText(settingsText)
        startedAtNs = System.nanoTime()
        hasEarlyHangUp = false
        process = EdgeProcess(settings, File(directory, "$name-${++startCount}.log"), shielded)
    }

    /**
     * Starts the process beside a fault that is over when this returns. Returns whether each
     * process that got SIGTERM meanwhile ended in time.
     */
    fun startBesideFault(random: Random): Boolean {
        when (random.nextInt(5)) {
            0 -> hold(random.nextInt(4)).use {
                start()
                Thread.sleep(random.nextLong(2_000))
            }

            1 -> {
                start()
                repeat(5) {
                    Thread.sleep(random.nextLong(80))
                    signal("HUP")
                }
            }

            // A text that lacks a part of its last line only would look complete.
            2 -> {
                start(text.take(random.nextInt(text.indexOf("platform"))))
                Thread.sleep(random.nextLong(1_000))
                settings.writeText(text)
            }

            3 -> {
                start()
                Thread.sleep(random.nextLong(1_000))
                return replace(random)
            }

            else -> start()
        }
        return true
    }

    /**
     * Stops the process with SIGTERM and starts another one, beside it or after its end. Returns
     * whether each process that got SIGTERM ended in time.
     */
    fun replace(random: Random): Boolean {
        val before = process
        signal("TERM")
        val isBeside = random.nextBoolean()
        val haveOthersEnded = !isBeside || startBesideFault(random)
        val hasEnded = before?.awaitExit() != null
        before?.close()
        return haveOthersEnded && hasEnded && (isBeside || startBesideFault(random))
    }

    /** Kills the process and waits until it has exited. */
    fun kill() {
        process?.close()
    }

    /** Sends the signal [name], such as TERM, HUP, STOP or CONT, to the process. */
    fun signal(name: String) {
        val isEarly = System.nanoTime() - startedAtNs < HANDLER_WINDOW_NS
        if (name == "HUP" && isEarly) hasEarlyHangUp = true
        process?.signal(name)
    }

    override fun close() {
        signal("CONT")
        kill()
    }

    /** Holds one of the four addresses, unless it is in use. */
    private fun hold(index: Int): AutoCloseable = try {
        val address = InetAddress.getByName(ip)
        when (index) {
            0 -> DatagramSocket(ports.peers, address)
            1 -> ServerSocket(ports.callers, 1, address)
            2 -> ServerSocket(ports.ready, 1, address)
            else -> ServerSocket(ports.control, 1, address)
        }
    } catch (_: BindException) {
        AutoCloseable { }
    }

    private companion object {
        /** Upper bound of the time from process start to the main function on a busy machine. */
        const val HANDLER_WINDOW_NS = 2_000_000_000L

        /** By the signal itself or by the JVM's handler, or its shutdown during the start. */
        val STATUSES_OF_HANG_UP = setOf(129, 1)
    }
}
