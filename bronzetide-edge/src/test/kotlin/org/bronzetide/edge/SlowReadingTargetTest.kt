package org.bronzetide.edge

import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.random.Random
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.memory.BodyBudget
import org.bronzetide.edge.standin.SessionServer
import org.bronzetide.platform.fleet.Account
import org.bronzetide.platform.fleet.CallerLimits
import org.bronzetide.platform.fleet.Manifest
import org.bronzetide.platform.fleet.Route
import org.bronzetide.platform.fleet.RouteKind
import org.bronzetide.platform.fleet.SocketAddress
import org.bronzetide.platform.fleet.TargetEntry
import org.bronzetide.platform.fleet.WeightedService
import org.bronzetide.scheduling.fleet.FleetScheduler
import org.bronzetide.scheduling.fleet.FleetTarget

/** A target that accepts connections and does not read the bodies of the requests on them. */
class SlowReadingTargetTest {
    private val target = ServerSocket().apply {
        receiveBufferSize = SMALL_BUFFER_BYTES
        bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
    }
    private val bodies = BodyBudget(largeBytes = 2L * BODY_BYTES, mediumBytes = 100_000)
    private val scheduler = FleetScheduler("z1", Random(1)).apply {
        updateTargets(listOf(FleetTarget("t", "s", "z1", 8, isLeaving = false, false)))
    }
    private val server = SessionServer(
        bodies,
        SessionServer.Parts(
            { MANIFEST },
            findTarget = {
                TargetEntry(it, "s", SocketAddress(IP, target.localPort), "z1", 8, false, 0)
            },
            scheduler = scheduler
        )
    ).apply { limits = CallerLimits(maxBodyBytes = BODY_BYTES, idleTimeoutMs = 15_000) }

    @AfterTry
    fun close() {
        server.close()
        target.close()
    }

    /** Guards against bodies that stay in memory, or are held twice, as a target reads slowly. */
    @Example
    fun bodiesCountWithinTheirBudgetUntilTheDeadline() {
        val callers = List(3) { send() }
        await { scheduler.runningCount == 2 }
        // The third body waits for its place and is refused.
        assertThat(bodies.heldBytes).isEqualTo(2L * BODY_BYTES)
        val statuses = callers.map { caller ->
            caller.use { it.getInputStream().bufferedReader().readLine().split(' ')[1] }
        }
        assertThat(statuses).containsExactlyInAnyOrder("504", "504", "503")
        await { bodies.heldBytes == 0L && scheduler.runningCount == 0 }
    }

    private fun send() = Socket(IP, server.port).apply {
        soTimeout = 10_000
        val head = "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: ${System.nanoTime()}\r\n" +
            "X-Api-Key: k\r\nDeadline-Ms: 2000\r\nContent-Length: $BODY_BYTES\r\n\r\n"
        kotlin.concurrent.thread {
            getOutputStream().write(head.encodeToByteArray())
            getOutputStream().write(ByteArray(BODY_BYTES))
        }
    }

    private fun await(condition: () -> Boolean) {
        val endNs = System.nanoTime() + 10_000_000_000
        while (!condition()) {
            assertThat(System.nanoTime()).isLessThan(endNs)
            Thread.sleep(5)
        }
    }

    private companion object {
        const val IP = "127.0.0.1"
        const val SMALL_BUFFER_BYTES = 2_048

        /** More than the buffers of a connection on loopback hold. */
        const val BODY_BYTES = 12_000_000
        val MANIFEST = Manifest(
            1,
            listOf(
                Route(
                    "r", "h", "/", RouteKind.NonIdempotent, timeoutMs = 2_000,
                    targetLatencyMs = 1_000, priority = 1, maxAttempts = 1, isPublic = false,
                    listOf(WeightedService("s", 1.0))
                )
            ),
            emptyMap(),
            listOf(Account("a", listOf("k"), null, isQuotaInTokens = false, 1, 100.0, 100.0)),
            CallerLimits()
        )
    }
}
