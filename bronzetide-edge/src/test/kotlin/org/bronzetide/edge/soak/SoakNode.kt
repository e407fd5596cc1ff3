package org.bronzetide.edge.soak

import java.io.File
import java.util.concurrent.TimeUnit
import org.bronzetide.edge.standin.EdgeTestEnvironment

/** An edge node that runs as a separate process, which a soak starts, signals and restarts. */
class SoakNode(
    val name: String,
    val ip: String,
    private val ports: Ports,
    private val seedAddresses: String,
    private val directory: File
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

    private var process: Process? = null
    private var startCount = 0

    private var startedAtNs = 0L
    private var lastSignalAtNs = 0L

    /** Whether the last signal came within [STARTUP_WINDOW_NS] of the start and may be fatal. */
    val isExitExpected: Boolean
        get() = lastSignalAtNs - startedAtNs in 0..STARTUP_WINDOW_NS

    val isRunning: Boolean get() = process?.isAlive == true

    /** Writes the settings file and starts the process, with a new log file each time. */
    fun start() {
        val settings = File(directory, "$name.conf")
        settings.writeText(
            """
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
            """.trimIndent()
        )
        val java = File(System.getProperty("java.home"), "bin/java").path
        val command = listOf(
            java,
            "-Xmx64m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("java.class.path"),
            "org.bronzetide.edge.EdgeKt"
        )
        startedAtNs = System.nanoTime()
        val log = File(directory, "$name-${startCount++}.log")
        process = ProcessBuilder(command)
            .apply { environment()["BRONZETIDE_NODE_FILE"] = settings.path }
            .redirectErrorStream(true).redirectOutput(log).start()
    }

    /** Kills the process and waits until it has exited. */
    fun kill() {
        process?.destroyForcibly()?.waitFor(PROCESS_WAIT_S, TimeUnit.SECONDS)
    }

    /** Sends the signal [name], such as TERM, HUP, STOP or CONT, to the process. */
    fun signal(name: String) {
        lastSignalAtNs = System.nanoTime()
        val pid = process?.takeIf { it.isAlive }?.pid() ?: return
        ProcessBuilder(
            "kill",
            "-$name",
            pid.toString()
        ).start().waitFor(PROCESS_WAIT_S, TimeUnit.SECONDS)
    }

    /** Waits up to [PROCESS_WAIT_S] for the process to exit; returns whether it did. */
    fun awaitExit(): Boolean = process?.waitFor(PROCESS_WAIT_S, TimeUnit.SECONDS) ?: true

    override fun close() {
        signal("CONT")
        kill()
    }

    private companion object {
        const val PROCESS_WAIT_S = 12L

        /** Upper bound of the time from process start to the main function on a busy machine. */
        const val STARTUP_WINDOW_NS = 3_000_000_000L
    }
}
