package org.bronzetide.edge

import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.edge.standin.StandInServer
import org.bronzetide.http.Header

/**
 * A target says in a response that it leaves. Guards against requests that reach it afterwards,
 * while its entry in the store still says that it is ready.
 */
class LeavingTargetTest {
    private val environment = EdgeTestEnvironment()
    private val servers = ArrayList<StandInServer>()

    @Volatile
    private var notices: List<Header> = emptyList()

    @Volatile
    private var refuses = false

    @AfterTry
    fun close() {
        servers.forEach { it.close() }
        environment.close()
    }

    @Example
    fun targetThatLeavesGetsNoFurtherRequestsUntilItStartsAgain() {
        val port = start()
        notices = listOf(Header("Server-Leaving", "1"))
        askUntilLeavingTargetAnswered()
        assertThat(arrivalsAtLeavingTarget(40)).isZero()
        environment.store.isUnavailable = true
        assertThat(arrivalsAtLeavingTarget(20)).isZero()
        environment.store.isUnavailable = false
        writeEntry(port, slots = 9, startedAtMs = 1)
        Thread.sleep(2_500)
        assertThat(arrivalsAtLeavingTarget(20)).isZero()
        notices = emptyList()
        writeEntry(port, slots = 9, startedAtMs = 2)
        Thread.sleep(1_000)
        assertThat(arrivalsAtLeavingTarget(40)).isPositive()
    }

    @Example
    fun refusalOfATargetThatLeavesCountsToo() {
        start()
        refuses = true
        notices = listOf(Header("Server-Leaving", "1"))
        askUntilLeavingTargetAnswered()
        assertThat(arrivalsAtLeavingTarget(40)).isZero()
    }

    @Example
    fun otherValuesAreNoDeparture() {
        start()
        listOf(listOf("0"), listOf("true"), listOf("1, 1"), listOf("1", "1"), listOf("")).forEach {
            notices = it.map { value -> Header("Server-Leaving", value) }
            askUntilLeavingTargetAnswered()
            assertThat(arrivalsAtLeavingTarget(40)).describedAs("$it").isPositive()
        }
    }

    /** Starts a sound target and the one that leaves, and returns the port of the latter. */
    private fun start(): Int {
        environment.startSoundTarget("sound")
        val leaving = StandInServer { request, _, connection ->
            environment.arrivals += request
            val id = Header("Request-Id", request.headers["Request-Id"].orEmpty())
            if (refuses) {
                val refusal = listOf(id, Header("Not-Executed", "1"))
                connection.send(503, refusal + notices, ByteArray(0))
            } else {
                val head = listOf(id, Header("Response-Signature", "s"))
                connection.send(200, head + notices, "answer".encodeToByteArray())
            }
            true
        }
        servers += leaving
        writeEntry(leaving.port, slots = 8, startedAtMs = 1)
        environment.writeManifest()
        environment.start()
        return leaving.port
    }

    private fun writeEntry(port: Int, slots: Int, startedAtMs: Long) = environment.store.write(
        "servers",
        "leaving",
        """{"service":"api","address":"127.0.0.1:$port","zone":"z1","slots":$slots,
            "state":"ready","version":"v1","born":$startedAtMs}"""
    )

    private fun askUntilLeavingTargetAnswered() {
        repeat(200) { if (arrivalsAtLeavingTarget(1) > 0) return }
        error("the target got no request")
    }

    private fun arrivalsAtLeavingTarget(requests: Int): Int {
        environment.arrivals.clear()
        repeat(requests) { assertThat(environment.ask("/safe/").status).isEqualTo(200) }
        return environment.arrivals.count { it.headers["Expect-Replica"] == "leaving" }
    }
}
