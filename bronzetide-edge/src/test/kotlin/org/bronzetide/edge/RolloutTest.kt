package org.bronzetide.edge

import java.util.concurrent.atomic.AtomicInteger
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.edge.standin.StandInServer

/** Rollouts through a whole process, with a store and targets of two versions. */
class RolloutTest {
    private val newCount = AtomicInteger()

    /** Guards against a bad version that is used after its fault has shown. */
    @Example
    fun badVersionGetsFewRequestsAndIsRolledBack() = EdgeTestEnvironment(SETTINGS).use { env ->
        env.startWithRollout(newStatus = 500)
        env.askUntil { "rolled_back" in env.storedRollouts() }
        val count = newCount.get()
        assertThat(count).isBetween(MIN_EVIDENCE, MIN_EVIDENCE * 2)
        repeat(50) { env.ask("/safe/x") }
        assertThat(newCount.get()).isEqualTo(count)
    }

    /** Guards against a good version that gets no requests after it was completed. */
    @Example
    fun goodVersionIsCompletedAndGetsAllRequests() = EdgeTestEnvironment(SETTINGS).use { env ->
        env.startWithRollout(newStatus = 200)
        env.askUntil { "completed" in env.storedRollouts() }
        assertThat(newCount.get()).isPositive()
        Thread.sleep(WATCH_DELAY_MS)
        val count = newCount.get()
        repeat(20) { env.ask("/safe/x") }
        assertThat(newCount.get()).isEqualTo(count + 20)
    }

    /** Guards against calls to the store for rollouts in deployments without the contract. */
    @Example
    fun processWithoutTheContractDoesNotWatchOrders() = EdgeTestEnvironment().use { env ->
        env.startWithRollout(newStatus = 200)
        repeat(20) { env.ask("/safe/x") }
        assertThat(env.store.rolloutCallCount).isZero()
        assertThat(newCount.get()).isPositive()
        Unit
    }

    private fun EdgeTestEnvironment.startWithRollout(newStatus: Int) {
        writeManifest()
        startTarget("old", "api", EdgeTestEnvironment::sendSignedResponse)
        store.write(
            "rollouts",
            "api",
            """{"service":"api","to":2,"duration_s":$DURATION_S}"""
        )
        val server = StandInServer { request, _, connection ->
            newCount.incrementAndGet()
            connection.send(
                newStatus,
                EdgeTestEnvironment.signedHeaders(request),
                "answer".encodeToByteArray()
            )
            true
        }
        store.write(
            "servers",
            "new",
            """{"service":"api","address":"127.0.0.1:${server.port}","zone":"z1","slots":8,
                "state":"ready","version":2}"""
        )
        start()
    }

    private fun EdgeTestEnvironment.askUntil(isReached: () -> Boolean) {
        val endAtNs = System.nanoTime() + DURATION_S * 1_000_000_000L
        while (!isReached()) {
            assertThat(System.nanoTime()).`as`(storedRollouts()).isLessThan(endAtNs)
            repeat(10) { ask("/safe/x") }
        }
    }

    private fun EdgeTestEnvironment.storedRollouts() = store.status("rollouts", "api").orEmpty()

    private companion object {
        const val SETTINGS = "bounds.retry_slack=1000\ncontracts=quota,rollout"
        const val DURATION_S = 12

        /** The failures of a single target that prove a fault. */
        const val MIN_EVIDENCE = 12
        const val WATCH_DELAY_MS = 500L
    }
}
