package org.bronzetide.node.entry

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.RefusalReason
import org.bronzetide.coordination.Verdict
import org.bronzetide.model.LedgerLine
import org.bronzetide.model.PoolId
import org.bronzetide.model.TargetId
import org.bronzetide.node.dispatch.DispatchResult
import org.bronzetide.node.dispatch.EngineCall
import org.bronzetide.node.dispatch.EngineClient
import org.bronzetide.node.dispatch.ServiceCall
import org.bronzetide.node.dispatch.ServiceClient
import org.bronzetide.node.dispatch.StreamEvent
import org.bronzetide.node.dispatch.Usage
import org.bronzetide.node.ledger.LedgerWriter
import org.bronzetide.node.telemetry.NodeMetrics
import org.bronzetide.node.telemetry.Tracing
import org.bronzetide.node.turns.DispatchGrant
import org.bronzetide.node.turns.GrantRequest
import org.bronzetide.node.turns.GrantResult
import org.bronzetide.node.turns.GrantSource
import org.bronzetide.platform.TargetHost
import org.bronzetide.scheduling.Release
import org.bronzetide.scheduling.ReleaseOutcome
import org.bronzetide.scheduling.RetryBudget

/**
 * Takes a request from its turn to its ledger line.
 *
 * A request is dispatched at most once: another turn is asked for only after a dispatch that made
 * no connection, and under the pool's retry budget. Whatever was handed over has one ledger line,
 * also when the caller goes away.
 */
internal class RequestForwarder(
    private val clock: MonotonicClock,
    private val turns: GrantSource,
    private val engines: EngineClient,
    private val services: ServiceClient,
    private val ledger: LedgerWriter,
    private val metrics: NodeMetrics,
    private val tracing: Tracing,
    private val hostOf: (PoolId, TargetId) -> TargetHost?
) {
    private val budgets = ConcurrentHashMap<PoolId, RetryBudget>()
    private val inFlight = AtomicInteger()

    /** The dispatches that are running. */
    val inFlightCount: Int get() = inFlight.get()

    /**
     * Runs [request] and passes the events of its stream to [emit]. A claim on an idempotency key
     * may be used up to [validUntilMs].
     */
    suspend fun run(
        request: CallerRequest,
        validUntilMs: Long,
        emit: suspend (StreamEvent) -> Unit
    ): RequestOutcome {
        val budget = budgets.computeIfAbsent(request.poolId) {
            RetryBudget(request.pool.retryShare)
        }
        budget.onFirstTry()
        val avoid = HashSet<TargetId>()
        while (true) {
            when (val turn = acquire(request, avoid)) {
                is GrantResult.Refused ->
                    return RequestOutcome(
                        Verdict.NotRun(turn.reason),
                        retryAfterMs = turn.retryAfterMs
                    )

                is GrantResult.Granted -> {
                    if (clock.nowMs() >= validUntilMs) return unusedTurn(turn.turn)
                    dispatch(request, turn.turn, emit)?.let { return it }
                    avoid += turn.turn.target
                    if (!synchronized(budget) { budget.tryRetry() }) return noTarget()
                }
            }
        }
    }

    private suspend fun acquire(request: CallerRequest, avoid: Set<TargetId>): GrantResult {
        val span = tracing.child(request.span, "queue")
        val startedAtMs = clock.nowMs()
        try {
            return turns.acquire(turnRequest(request, avoid))
        } finally {
            metrics.onTurn(request.policy.tier, clock.nowMs() - startedAtMs)
            span.end()
        }
    }

    private fun turnRequest(request: CallerRequest, avoid: Set<TargetId>): GrantRequest {
        val completion = request.work as? RequestContent.Completion
        return GrantRequest(
            pool = request.poolId,
            caller = request.caller,
            operation = request.work.operation,
            policy = request.policy,
            promptTokens = completion?.promptTokens ?: 0,
            maxOutputTokens = completion?.maxOutputTokens ?: 1,
            prefixHash = completion?.prefixHash ?: 0,
            deadlineAtMs = request.deadlineAtMs,
            avoid = avoid.toSet()
        )
    }

    /** Dispatches once; returns `null` only if nothing was handed over. */
    private suspend fun dispatch(
        request: CallerRequest,
        turn: DispatchGrant,
        emit: suspend (StreamEvent) -> Unit
    ): RequestOutcome? {
        val host = hostOf(request.poolId, turn.target)
        if (host == null) {
            turns.release(turn, Release(ReleaseOutcome.UNREACHABLE))
            return null
        }
        val dispatch = Dispatch(request, turn, host)
        inFlight.incrementAndGet()
        try {
            return dispatch.run(emit)
        } finally {
            withContext(NonCancellable) { dispatch.close() }
            inFlight.decrementAndGet()
        }
    }

    private fun unusedTurn(turn: DispatchGrant): RequestOutcome {
        turns.release(turn, Release(ReleaseOutcome.CANCELLED))
        return RequestOutcome(Verdict.NotRun(RefusalReason.DEADLINE))
    }

    private fun noTarget() =
        RequestOutcome(Verdict.NotRun(RefusalReason.NO_TARGET), retryAfterMs = NO_TARGET_RETRY_MS)

    private inner class Dispatch(
        private val request: CallerRequest,
        private val turn: DispatchGrant,
        private val host: TargetHost
    ) {
        private val span = tracing.child(request.span, "dispatch")
        private val startedAtMs = clock.nowMs()
        private val wallClockMs = System.currentTimeMillis()
        private var passedTokens = 0
        private var result: DispatchResult? = null

        suspend fun run(emit: suspend (StreamEvent) -> Unit): RequestOutcome? {
            span.setAttribute("target", turn.target.value)
            val ended = when (val work = request.work) {
                is RequestContent.Completion -> engines.run(engineCall(work)) { event ->
                    if (event.text.isNotEmpty() && passedTokens++ == 0) onFirstToken()
                    emit(event)
                }

                is RequestContent.ServiceRequest -> services.run(serviceCall(work))
            }
            result = ended
            return when (ended) {
                is DispatchResult.Finished -> RequestOutcome(Verdict.Ran, ended.answer)
                is DispatchResult.Incomplete -> RequestOutcome(Verdict.MayHaveRun(ended.detail))
                is DispatchResult.NotSent -> null
            }
        }

        suspend fun close() {
            val ended = result
            val isAbandoned = ended == null && request.work is RequestContent.Completion
            if (isAbandoned) engines.cancel(host.url, request.id.value)
            turns.release(turn, release(ended))
            if (ended !is DispatchResult.NotSent) ledger.add(line(ended))
            recordPrefill(ended)
            span.end()
        }

        private fun onFirstToken() {
            metrics.onFirstToken(request.policy.tier, clock.nowMs() - startedAtMs)
            span.addEvent("first token")
            turns.onFirstToken(turn)
        }

        private fun recordPrefill(ended: DispatchResult?) {
            val completion = request.work as? RequestContent.Completion ?: return
            if (ended is DispatchResult.NotSent) return
            metrics.onPrefill(completion.promptTokens, isWasted = ended !is DispatchResult.Finished)
        }

        private fun engineCall(work: RequestContent.Completion) = EngineCall(
            baseUrl = host.url,
            requestId = request.id.value,
            body = work.body.toString(),
            promptTokens = work.promptTokens,
            traceparent = tracing.traceparent(span)
        )

        private fun serviceCall(work: RequestContent.ServiceRequest) = ServiceCall(
            url = host.url + work.path + if (work.query.isEmpty()) "" else "?${work.query}",
            method = work.method,
            requestId = request.id.value,
            body = work.body,
            contentType = work.contentType,
            idempotencyKey = request.idempotencyKey,
            traceparent = tracing.traceparent(span),
            timeoutMs = request.deadlineAtMs - clock.nowMs()
        )

        private fun promptTokens() = (request.work as? RequestContent.Completion)?.promptTokens ?: 0

        private fun usage(ended: DispatchResult?): Usage = when (ended) {
            is DispatchResult.Finished -> ended.usage

            is DispatchResult.Incomplete -> ended.usage

            else -> Usage(
                promptTokens = if (passedTokens > 0) promptTokens() else 0,
                outputTokens = passedTokens,
                durationMs = clock.nowMs() - startedAtMs
            )
        }

        private fun release(ended: DispatchResult?): Release {
            val usage = usage(ended)
            val outcome = when (ended) {
                is DispatchResult.Finished -> ReleaseOutcome.FINISHED
                is DispatchResult.Incomplete -> ReleaseOutcome.FAILED
                is DispatchResult.NotSent -> ReleaseOutcome.UNREACHABLE
                null -> ReleaseOutcome.CANCELLED
            }
            return Release(
                outcome,
                usage.promptTokens,
                usage.outputTokens,
                usage.firstTokenMs,
                usage.durationMs
            )
        }

        private fun line(ended: DispatchResult?): LedgerLine {
            val usage = usage(ended)
            val verdict = if (ended is DispatchResult.Finished) {
                Verdict.Ran
            } else {
                Verdict.MayHaveRun(
                    ""
                )
            }
            return LedgerLine(
                requestId = request.id,
                caller = request.caller,
                pool = request.poolId,
                tier = request.policy.tier.level,
                target = turn.target,
                operation = request.work.operation,
                promptTokens = usage.promptTokens,
                outputTokens = usage.outputTokens,
                verdict = verdict.label,
                dispatchedAtMs = wallClockMs,
                durationMs = usage.durationMs,
                traceId = span.spanContext.traceId.takeIf { span.spanContext.isValid }.orEmpty()
            )
        }
    }

    private companion object {
        const val NO_TARGET_RETRY_MS = 1_000L
    }
}
