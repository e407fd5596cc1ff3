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
import org.bronzetide.node.grants.DispatchGrant
import org.bronzetide.node.grants.GrantRequest
import org.bronzetide.node.grants.GrantResult
import org.bronzetide.node.grants.GrantSource
import org.bronzetide.node.ledger.LedgerWriter
import org.bronzetide.node.telemetry.NodeMetrics
import org.bronzetide.node.telemetry.Tracing
import org.bronzetide.platform.TargetHost
import org.bronzetide.scheduling.Release
import org.bronzetide.scheduling.ReleaseOutcome
import org.bronzetide.scheduling.RetryBudget

/**
 * Forwards admitted requests to targets: acquires a grant, dispatches, and writes the ledger line.
 *
 * A request is sent at most once. Another grant is acquired only after a dispatch that made no
 * connection, and only within the pool's retry budget. Every request that may have been sent has
 * one ledger line, even if the caller disconnects.
 */
internal class RequestForwarder(
    private val clock: MonotonicClock,
    private val grants: GrantSource,
    private val engines: EngineClient,
    private val services: ServiceClient,
    private val ledger: LedgerWriter,
    private val metrics: NodeMetrics,
    private val tracing: Tracing,
    private val hostOf: (PoolId, TargetId) -> TargetHost?
) {
    private val budgets = ConcurrentHashMap<PoolId, RetryBudget>()
    private val inFlight = AtomicInteger()

    /** The number of dispatches in progress. */
    val inFlightCount: Int get() = inFlight.get()

    /**
     * Runs [request] and passes the events of its stream to [emit]. No dispatch starts after
     * [validUntilMs] on the node's clock, when the claim of its idempotency key expires.
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
            when (val result = acquire(request, avoid)) {
                is GrantResult.Refused ->
                    return RequestOutcome(
                        Verdict.NotRun(result.reason),
                        retryAfterMs = result.retryAfterMs
                    )

                is GrantResult.Granted -> {
                    if (clock.nowMs() >= validUntilMs) return releaseUnused(result.grant)
                    dispatch(request, result.grant, emit)?.let { return it }
                    avoid += result.grant.target
                    if (!synchronized(budget) { budget.tryRetry() }) return noTarget()
                }
            }
        }
    }

    private suspend fun acquire(request: CallerRequest, avoid: Set<TargetId>): GrantResult {
        val span = tracing.startChildSpan(request.span, "queue")
        val startedAtMs = clock.nowMs()
        try {
            return grants.acquire(grantRequest(request, avoid))
        } finally {
            metrics.onQueueWait(request.policy.tier, clock.nowMs() - startedAtMs)
            span.end()
        }
    }

    private fun grantRequest(request: CallerRequest, avoid: Set<TargetId>): GrantRequest {
        val completion = request.content as? RequestContent.Completion
        return GrantRequest(
            pool = request.poolId,
            caller = request.caller,
            operation = request.content.operation,
            policy = request.policy,
            promptTokens = completion?.promptTokens ?: 0,
            maxOutputTokens = completion?.maxOutputTokens ?: 1,
            prefixHash = completion?.prefixHash ?: 0,
            deadlineAtMs = request.deadlineAtMs,
            avoid = avoid.toSet()
        )
    }

    /** Dispatches [request] once. Returns `null` only if it was not sent. */
    private suspend fun dispatch(
        request: CallerRequest,
        grant: DispatchGrant,
        emit: suspend (StreamEvent) -> Unit
    ): RequestOutcome? {
        var isUsed = false
        var unused = ReleaseOutcome.CANCELLED
        val dispatch = try {
            val host = hostOf(request.poolId, grant.target)
            if (host == null) unused = ReleaseOutcome.UNREACHABLE
            host?.let { Dispatch(request, grant, it) }.also { isUsed = it != null }
        } finally {
            if (!isUsed) grants.release(grant, Release(unused))
        } ?: return null
        inFlight.incrementAndGet()
        try {
            request.mayHaveRun = true
            val outcome = dispatch.run(emit)
            if (outcome == null) request.mayHaveRun = false
            return outcome
        } finally {
            try {
                withContext(NonCancellable) { dispatch.close() }
            } finally {
                inFlight.decrementAndGet()
            }
        }
    }

    private fun releaseUnused(grant: DispatchGrant): RequestOutcome {
        grants.release(grant, Release(ReleaseOutcome.CANCELLED))
        return RequestOutcome(Verdict.NotRun(RefusalReason.DEADLINE))
    }

    private fun noTarget() =
        RequestOutcome(Verdict.NotRun(RefusalReason.NO_TARGET), retryAfterMs = NO_TARGET_RETRY_MS)

    private inner class Dispatch(
        private val request: CallerRequest,
        private val grant: DispatchGrant,
        private val host: TargetHost
    ) {
        private val span = tracing.startChildSpan(request.span, "dispatch")
        private val startedAtMs = clock.nowMs()
        private val startedAtEpochMs = System.currentTimeMillis()
        private var forwardedTokens = 0
        private var result: DispatchResult? = null

        suspend fun run(emit: suspend (StreamEvent) -> Unit): RequestOutcome? {
            span.setAttribute("target", grant.target.value)
            val ended = when (val content = request.content) {
                is RequestContent.Completion -> engines.run(engineCall(content)) { event ->
                    if (event.text.isNotEmpty() && forwardedTokens++ == 0) onFirstToken()
                    emit(event)
                }

                is RequestContent.ServiceRequest -> services.run(serviceCall(content))
            }
            result = ended
            return when (ended) {
                is DispatchResult.Finished -> RequestOutcome(Verdict.Ran, ended.response)
                is DispatchResult.Incomplete -> RequestOutcome(Verdict.MayHaveRun(ended.detail))
                is DispatchResult.NotSent -> null
            }
        }

        suspend fun close() {
            val ended = result
            val isAbandoned = ended == null && request.content is RequestContent.Completion
            if (isAbandoned) engines.cancel(host.url, request.id.value)
            grants.release(grant, release(ended))
            if (ended !is DispatchResult.NotSent) ledger.add(line(ended))
            recordPrefill(ended)
            span.end()
        }

        private fun onFirstToken() {
            metrics.onFirstToken(request.policy.tier, clock.nowMs() - startedAtMs)
            span.addEvent("first token")
            grants.onFirstToken(grant)
        }

        private fun recordPrefill(ended: DispatchResult?) {
            val completion = request.content as? RequestContent.Completion ?: return
            if (ended is DispatchResult.NotSent) return
            metrics.onPrefill(completion.promptTokens, isWasted = ended !is DispatchResult.Finished)
        }

        private fun engineCall(content: RequestContent.Completion) = EngineCall(
            baseUrl = host.url,
            requestId = request.id.value,
            body = content.body.toString(),
            promptTokens = content.promptTokens,
            traceparent = tracing.traceparent(span)
        )

        private fun serviceCall(content: RequestContent.ServiceRequest) = ServiceCall(
            url = host.url + content.path +
                if (content.query.isEmpty()) "" else "?${content.query}",
            method = content.method,
            requestId = request.id.value,
            body = content.body,
            contentType = content.contentType,
            idempotencyKey = request.idempotencyKey,
            traceparent = tracing.traceparent(span),
            timeoutMs = request.deadlineAtMs - clock.nowMs()
        )

        private fun promptTokens() =
            (request.content as? RequestContent.Completion)?.promptTokens ?: 0

        private fun usage(ended: DispatchResult?): Usage = when (ended) {
            is DispatchResult.Finished -> ended.usage

            is DispatchResult.Incomplete -> ended.usage

            else -> Usage(
                promptTokens = if (forwardedTokens > 0) promptTokens() else 0,
                outputTokens = forwardedTokens,
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
                Verdict.MayHaveRun("")
            }
            return LedgerLine(
                requestId = request.id,
                caller = request.caller,
                pool = request.poolId,
                tier = request.policy.tier.level,
                target = grant.target,
                operation = request.content.operation,
                promptTokens = usage.promptTokens,
                outputTokens = usage.outputTokens,
                verdict = verdict.label,
                dispatchedAtMs = startedAtEpochMs,
                durationMs = usage.durationMs,
                traceId = span.spanContext.traceId.takeIf { span.spanContext.isValid }.orEmpty()
            )
        }
    }

    private companion object {
        const val NO_TARGET_RETRY_MS = 1_000L
    }
}
