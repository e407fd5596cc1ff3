package org.bronzetide.node.grants

import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.RefusalReason
import org.bronzetide.model.PoolId
import org.bronzetide.model.TargetId
import org.bronzetide.platform.TargetHost
import org.bronzetide.scheduling.Release

/**
 * A baseline for experiments that needs no arbiter: each node queues its requests first in, first
 * out, and uses its own share of each target's concurrency. Targets are chosen round-robin, or by
 * the least reported load where [reportedLoad] is given.
 */
internal class LocalGrants(
    private val control: ControlLoop,
    private val clock: MonotonicClock,
    private val targetsOf: (PoolId) -> List<TargetHost>,
    private val share: (PoolId) -> Int,
    private val maxQueued: (PoolId) -> Int,
    private val reportedLoad: ((TargetId) -> Int)?
) : GrantSource {
    private val queues = HashMap<PoolId, ArrayDeque<WaitingRequest>>()
    private val inFlight = HashMap<TargetId, Int>()
    private val sequences = AtomicLong()
    private var rotation = 0

    override suspend fun acquire(request: GrantRequest): GrantResult {
        val waiting = WaitingRequest(request)
        control.call { enqueue(waiting) }
        try {
            return waiting.result.await()
        } catch (cause: CancellationException) {
            control.post { withdraw(waiting) }
            throw cause
        }
    }

    override fun onFirstToken(grant: DispatchGrant) = Unit

    override fun release(grant: DispatchGrant, release: Release) = control.post {
        inFlight.merge(grant.target, -1, Int::plus)
        grantWaiting(grant.shard.pool)
    }

    /**
     * Refuses requests at the head of each queue whose deadline has passed, and grants the next
     * ones if a target is free; called periodically.
     */
    fun expire() = queues.keys.toList().forEach { grantWaiting(it) }

    private fun enqueue(waiting: WaitingRequest) {
        val pool = waiting.request.pool
        val queue = queues.getOrPut(pool) { ArrayDeque() }
        if (queue.size >= maxQueued(pool)) {
            waiting.result.complete(GrantResult.Refused(RefusalReason.SHED, RETRY_AFTER_MS))
        } else {
            queue.addLast(waiting)
            grantWaiting(pool)
        }
    }

    private fun withdraw(waiting: WaitingRequest) {
        queues[waiting.request.pool]?.remove(waiting)
        waiting.grant?.let {
            inFlight.merge(it.target, -1, Int::plus)
            grantWaiting(it.shard.pool)
        }
    }

    private fun grantWaiting(pool: PoolId) {
        val queue = queues[pool] ?: return
        while (queue.isNotEmpty()) {
            val next = queue.first()
            if (next.request.deadlineAtMs < clock.nowMs()) {
                next.result.complete(GrantResult.Refused(RefusalReason.DEADLINE, RETRY_AFTER_MS))
            } else {
                val target = choose(pool, next.request.avoid) ?: return
                inFlight.merge(target, 1, Int::plus)
                val grant = DispatchGrant(PoolShard(pool), sequences.incrementAndGet(), target)
                next.grant = grant
                next.result.complete(GrantResult.Granted(grant))
            }
            queue.removeFirst()
        }
    }

    private fun choose(pool: PoolId, avoid: Set<TargetId>): TargetId? {
        val usable = targetsOf(pool).filter { !it.isLeaving }.map { TargetId(it.id) }
            .filter { it !in avoid && inFlight.getOrDefault(it, 0) < share(pool) }
        if (usable.isEmpty()) return null
        val load = reportedLoad
        rotation++
        val rotated = usable.indices.map { usable[(it + rotation) % usable.size] }
        return if (load == null) rotated.first() else rotated.minBy { load(it) }
    }

    private class WaitingRequest(val request: GrantRequest) {
        val result = CompletableDeferred<GrantResult>()
        var grant: DispatchGrant? = null
    }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}
