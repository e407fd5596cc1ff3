package org.bronzetide.edge.rollout

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.state.FencingToken
import org.bronzetide.edge.state.StoreLease
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.platform.fleet.FleetStore
import org.bronzetide.platform.fleet.ObjectKinds
import org.bronzetide.platform.fleet.RolloutStatus
import org.bronzetide.platform.fleet.StoreResult
import org.bronzetide.platform.fleet.StoredObject
import org.bronzetide.scheduling.fleet.RolloutDecision
import org.bronzetide.scheduling.fleet.RolloutPolicy

/**
 * Writes the status of rollouts to the store.
 *
 * Every host runs a driver. One that finds that a status is due takes the service's lease, reads
 * the object, writes the status on the condition of its revision, and gives the lease up. The hosts
 * try in an order that they all compute alike, each [RANK_DELAY_MS] after the one before it, so
 * that another one takes over if a driver is killed or cannot reach the store. No step relies on
 * memory of an earlier one: whatever was written, or may have been, is read before the next write.
 * A decided status is never replaced.
 */
internal class RolloutDriver(
    private val control: ControlLoop,
    private val clock: MonotonicClock,
    private val store: FleetStore,
    private val orders: RolloutOrders,
    private val policy: RolloutPolicy,
    private val log: DecisionLog,
    private val metrics: EdgeMetrics,
    /** The position of this host among those that may drive the rollout of a service. */
    private val rankFor: (service: String) -> Int,
    private val newLease: (name: String) -> StoreLease
) {
    private val leases = HashMap<String, StoreLease>()
    private val dueSinceMs = HashMap<Due, Long>()

    /** A status that the store should have, which is [isDecision] or active. */
    private data class Due(val order: StoredOrder, val isDecision: Boolean)

    /** Writes due statuses until it is cancelled. Calls the store only while one is due. */
    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            delay(STEP_MS)
            try {
                step()
            } catch (cause: CancellationException) {
                throw cause
            } catch (cause: Throwable) {
                // Nothing would start the driver again.
                log.failure("rollout driver", cause)
            }
        }
    }

    /** Makes one attempt at each status that is due. */
    suspend fun step() {
        val due = control.call {
            val nowMs = clock.nowMs()
            val all = orders.current.filter(::isDue)
                .map { Due(it, policy.isDecisionDue(it.order.service, nowMs)) }
            dueSinceMs.keys.retainAll(all.toSet())
            all.filter { nowMs - dueSinceMs.getOrPut(it) { nowMs } >= delayMs(it) }
        }
        due.forEach { drive(it.order) }
    }

    private fun delayMs(due: Due): Long =
        minOf(rankFor(due.order.order.service) * RANK_DELAY_MS, MAX_RANK_DELAY_MS)

    /** Whether the store lacks the status of [stored]. On the control thread. */
    private fun isDue(stored: StoredOrder): Boolean {
        val status = stored.status ?: return true
        if (status.state != RolloutStatus.State.ACTIVE) return false
        return policy.isDecisionDue(stored.order.service, clock.nowMs()) ||
            isProgressDue(stored, status)
    }

    /** The time since the order is stored now and then, for hosts that all start anew. */
    private fun isProgressDue(stored: StoredOrder, status: RolloutStatus): Boolean {
        val elapsedMs = policy.elapsedMs(stored.order.service, clock.nowMs()) ?: return false
        val isRunning = elapsedMs < stored.order.durationMs
        return isRunning && elapsedMs - status.elapsedMs >= stored.order.durationMs / PROGRESS_STEPS
    }

    private suspend fun drive(stored: StoredOrder) {
        val service = stored.order.service
        val lease = leases.getOrPut(service) { newLease("rollout-$service") }
        val held = lease.tryHold() ?: return
        try {
            when (val result = store.read(ObjectKinds.ROLLOUTS, stored.name)) {
                is StoreResult.Done -> writeOver(stored, result.value, held)
                is StoreResult.Failed -> onNotWritten(stored, result.toString())
            }
        } finally {
            lease.release()
        }
    }

    private suspend fun writeOver(
        stored: StoredOrder,
        found: StoredObject?,
        held: StoreLease.Held
    ) {
        if (found == null) {
            control.call { orders.onMissing(stored.name) }
            return onNotWritten(stored, "order is gone")
        }
        val status = control.call { statusFor(found, held.token) } ?: return
        if (held.isValid(clock.nowMs())) {
            write(stored, found, status)
        } else {
            onNotWritten(stored, "lease ended")
        }
    }

    /** Returns the status to write over that of [found], or `null` if none is due. */
    private fun statusFor(found: StoredObject, token: FencingToken): RolloutStatus? {
        val current = orders.onObject(found)?.takeIf(::isDue) ?: return null
        if (current.status != null && current.status.token > token.value) {
            onNotWritten(current, "written by a later driver")
            return null
        }
        val service = current.order.service
        val decision = policy.proposal(service, clock.nowMs()) ?: return null
        return RolloutStatus(
            decision.state,
            current.order.to.name,
            token.value,
            policy.elapsedMs(service, clock.nowMs()) ?: 0,
            (decision as? RolloutDecision.RolledBack)?.evidence
        )
    }

    private val RolloutDecision.state: RolloutStatus.State
        get() = when (this) {
            RolloutDecision.Undecided -> RolloutStatus.State.ACTIVE
            RolloutDecision.Completed -> RolloutStatus.State.COMPLETED
            is RolloutDecision.RolledBack -> RolloutStatus.State.ROLLED_BACK
        }

    private suspend fun write(stored: StoredOrder, found: StoredObject, status: RolloutStatus) {
        val result = store.replaceStatus(
            ObjectKinds.ROLLOUTS,
            found.name,
            status.encode(),
            found.revision,
            found.era
        )
        when (result) {
            is StoreResult.Done -> {
                log.stateChange(
                    "rollout status written",
                    "service" to stored.order.service,
                    "to" to status.to,
                    "state" to status.state.name,
                    "token" to status.token,
                    "elapsedMs" to status.elapsedMs,
                    "reason" to status.reason
                )
                metrics.onRolloutWrite(status.state.name)
                control.call { orders.onObject(result.value) }
            }

            is StoreResult.Failed -> onNotWritten(stored, result.toString())
        }
    }

    private fun onNotWritten(stored: StoredOrder, detail: String) {
        metrics.onRolloutWrite("FAILED")
        log.stateChange(
            "rollout status not written",
            "service" to stored.order.service,
            "to" to stored.order.to.name,
            "detail" to detail
        )
    }

    internal companion object {
        const val STEP_MS = 500L

        /** The five calls to the store for a lease and a status usually take well below it. */
        const val RANK_DELAY_MS = 1_500L

        /** Bounds the wait of the last of many hosts; by then 20 others have failed. */
        private const val MAX_RANK_DELAY_MS = 30_000L
        private const val PROGRESS_STEPS = 4
    }
}
