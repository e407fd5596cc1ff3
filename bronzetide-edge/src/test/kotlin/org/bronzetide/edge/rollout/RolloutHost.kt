package org.bronzetide.edge.rollout

import org.bronzetide.coordination.ControlLoop
import org.bronzetide.edge.state.StoreClientEnvironment
import org.bronzetide.edge.state.StoreLease
import org.bronzetide.platform.fleet.ObjectKinds
import org.bronzetide.platform.fleet.StoreResult
import org.bronzetide.scheduling.fleet.FleetOutcome
import org.bronzetide.scheduling.fleet.FleetTarget
import org.bronzetide.scheduling.fleet.RolloutDecision
import org.bronzetide.scheduling.fleet.RolloutPolicy

/** What one host needs to drive a rollout, with its own client of the store. */
internal class RolloutHost(private val env: StoreClientEnvironment, rank: Int) : AutoCloseable {
    private val store = env.client()
    private val control = ControlLoop(env.clock)
    val policy = RolloutPolicy(0.1, 50.0) { 1 }.apply {
        updateTargets(
            listOf("1", "2").map {
                FleetTarget("t$it", "app", "z1", 8, false, isEngine = false, version = it)
            }
        )
    }
    val orders = RolloutOrders(control, env.clock, policy, env.log)
    private val driver = RolloutDriver(
        control,
        env.clock,
        store,
        orders,
        policy,
        env.log,
        env.metrics,
        { rank }
    ) {
        StoreLease(
            store,
            it,
            "host$rank",
            env.clock,
            env.log,
            env.metrics,
            StoreClientEnvironment.DURATION_MS
        )
    }
    private var sequences = 0L

    val decision: RolloutDecision? get() = policy.decisionOn("app")

    /** Reads the orders as the watch of a host does. */
    suspend fun readOrders() {
        val result = store.list(ObjectKinds.ROLLOUTS)
        if (result is StoreResult.Done) orders.onListing(result.value)
    }

    suspend fun step() = driver.step()

    /** Reads the orders and lets the driver run for [durationMs]. */
    suspend fun run(durationMs: Long) = repeat((durationMs / RolloutDriver.STEP_MS).toInt()) {
        readOrders()
        env.advance(RolloutDriver.STEP_MS)
        step()
    }

    /** Records [count] responses of the new version, and as many of the old one without failure. */
    fun respond(count: Int, isBad: Boolean) = repeat(count) {
        send("t1", FleetOutcome.ANSWERED)
        send("t2", if (isBad) FleetOutcome.ERROR else FleetOutcome.ANSWERED)
    }

    private fun send(targetId: String, outcome: FleetOutcome) {
        val nowMs = env.clock.nowMs()
        val sequence = ++sequences
        policy.onSend(sequence, "app", "route", targetId, isFirst = true, nowMs)
        // Judging is limited to a few times a second.
        policy.onEnd(sequence, outcome, nowMs + 10 * sequences)
    }

    override fun close() = control.close()
}
