package org.bronzetide.edge.forwarding

import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.memory.OutputBuffer
import org.bronzetide.edge.state.TargetStarts
import org.bronzetide.edge.state.ref
import org.bronzetide.edge.state.software
import org.bronzetide.edge.streams.StreamOrigins
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.Header
import org.bronzetide.http.ResponseProgress
import org.bronzetide.platform.fleet.PlatformHeaders
import org.bronzetide.platform.fleet.Route
import org.bronzetide.platform.fleet.RouteKind
import org.bronzetide.platform.fleet.TargetEntry
import org.bronzetide.platform.fleet.TargetReport
import org.bronzetide.scheduling.fleet.FleetDecision
import org.bronzetide.scheduling.fleet.FleetOutcome
import org.bronzetide.scheduling.fleet.FleetTicket
import org.bronzetide.scheduling.fleet.HedgingDecision
import org.bronzetide.scheduling.fleet.HedgingPolicy
import org.bronzetide.scheduling.fleet.HedgingShare
import org.bronzetide.scheduling.fleet.SoftwareVersion
import org.bronzetide.scheduling.fleet.WindowedRetryBudget
import org.bronzetide.scheduling.streams.StreamOrigin

/** The status of the response that a caller received, with the reason for it. */
internal class ForwardingResult(
    val status: Int,
    val reason: String,
    /** Whether the response was complete, so that the connection may carry another request. */
    val isConnectionReusable: Boolean,
    /** Whether it is certain that no target ran the request. */
    val hasNotRun: Boolean,
    /** The relay with the timing of the events, if the response was streamed. */
    val stream: StreamRelay? = null
)

/**
 * Forwards an admitted request to targets until it has a final response: waits for the scheduler to
 * choose a target, sends the request, and retries it where that is safe.
 *
 * A request that may have run is retried only if the route's kind allows it. A request that
 * certainly has not run may be sent to another target within the retry budget.
 */
internal class RequestForwarder(
    private val scheduler: SchedulerAdapter,
    private val client: TargetClient,
    private val clock: MonotonicClock,
    private val retryBudget: WindowedRetryBudget,
    private val findTarget: (String) -> TargetEntry?,
    private val log: DecisionLog,
    private val metrics: EdgeMetrics,
    private val origins: StreamOrigins,
    private val processEnd: ProcessEnd = ProcessEnd(),
    private val hedging: HedgingPolicy = HedgingPolicy(HedgingShare.OFF),
    /** `null` if targets do not restart, as in the warm-up. */
    private val targetStarts: TargetStarts? = null
) {
    /**
     * Forwards [call] and writes the response to [caller]. The session cancels this when the caller
     * disconnects.
     *
     * @throws org.bronzetide.http.CallerConnectionException if writing to the caller fails.
     */
    suspend fun forward(call: Call, caller: CallerConnection): ForwardingResult {
        val state = State(call, caller)
        val remainingMs = call.deadlineAtMs - clock.nowMs()
        try {
            try {
                withTimeoutOrNull(remainingMs.coerceAtLeast(1)) {
                    processEnd.runUntilEnd { state.output.run { runAttempts(state) } }
                }
            } finally {
                state.takeReplacement()?.let(::drop)
            }
            return finish(state)
        } finally {
            state.bodies.forEach { it.close() }
        }
    }

    private inner class State(val call: Call, val caller: CallerConnection) {
        val avoid = HashSet<String>()
        val output = CallerOutput(caller, client.memory.output, call.account?.name) {
            onCallerCut(call, it)
        }
        val relay = StreamRelay(
            output,
            clock,
            client.memory.events,
            onStart = ::onStart,
            onFirstEvent = {
                scheduler.onFirstEvent(ticketSequence)
                recordWait(this)
                metrics.onFirstEvent(call.priority, clock.nowMs() - call.arrivedAtMs)
            },
            onEventInterval = { scheduler.onEventInterval(ticketSequence, it) }
        )
        var ticketSequence = 0L
        var sends = 0
        var refusal: FleetDecision.Refuse? = null
        var lastResult: SendResult? = null

        /** The bodies of responses, which are held until the caller has been answered. */
        val bodies = ArrayList<AutoCloseable>()

        /** The target of the current send, as it was registered when the request was sent. */
        var currentTarget: TargetEntry? = null

        /** The version that the stream began with, whose targets alone may go on with it. */
        var version: SoftwareVersion? = call.version
            private set

        /** When the current send was made, until it has responded or another run took over. */
        var waitingSinceMs: Long? = null
        var isHedged = false

        /** A run at another target that takes over from a silent one. */
        var replacement: Replacement? = null

        /** Writes the end of the response, within the time that the caller still has. */
        suspend fun end(write: suspend CallerConnection.() -> Unit) =
            output.end(call.deadlineAtMs - clock.nowMs(), write)

        fun takeReplacement(): Replacement? = replacement.also { replacement = null }

        /** The first event of the response is about to be written to the caller. */
        private fun onStart() {
            val begun = softwareOf(checkNotNull(currentTarget))
            version = begun
            if (!call.route.kind.isSafeToRetry) return
            call.firstRequestId?.let { origins.onFirstEvent(it, StreamOrigin(call.service, begun)) }
        }

        /** Whether [target] may send the events that the caller has not received yet. */
        fun mayContinueAt(target: TargetEntry): Boolean =
            version == null || softwareOf(target) == version

        /** A target that may have restarted runs a version that no other one is known to run. */
        private fun softwareOf(target: TargetEntry): SoftwareVersion =
            if (targetStarts?.isInDoubt(target) == true) {
                SoftwareVersion.of(null, target.ref)
            } else {
                target.software
            }
    }

    /** A run whose target has begun to respond, and the ticket that it was sent for. */
    private class Replacement(
        val ticketSequence: Long,
        val beginning: TargetClient.Beginning.Responding
    )

    private suspend fun runAttempts(state: State) {
        retryBudget.onRequest(state.call.service, clock.nowMs())
        hedging.onRequest(state.call.service)
        while (true) {
            val result = when (val decision = awaitDecision(state)) {
                is FleetDecision.Refuse -> {
                    state.refusal = decision
                    return
                }

                is FleetDecision.Send -> sendUntilReplaced(state, decision)
            }
            state.lastResult = result
            if (!mayRetry(state, result)) return
        }
    }

    /** Sends the request, and goes on with each replacement for a silent target. */
    private suspend fun sendUntilReplaced(state: State, decision: FleetDecision.Send): SendResult {
        var result = send(state, decision)
        while (true) {
            val replacement = state.takeReplacement() ?: return result
            // The stream may have begun at the other target after this one was chosen.
            if (!state.mayContinueAt(replacement.beginning.target)) {
                drop(replacement)
                return result
            }
            state.ticketSequence = replacement.ticketSequence
            result = complete(state, replacement.beginning)
        }
    }

    private fun onCallerCut(call: Call, cut: OutputBuffer.Cut) {
        val limit = cut.limit.name.lowercase()
        log.request(
            "caller cut",
            call.requestId,
            "limit" to limit,
            "heldBytes" to cut.connectionBytes,
            "account" to call.account?.name,
            "accountBytes" to cut.accountBytes,
            "totalBytes" to cut.totalBytes
        )
        metrics.onCallerCut(limit)
    }

    private suspend fun awaitDecision(state: State): FleetDecision {
        val ticket = newTicket(state, state.avoid.toSet())
        state.ticketSequence = ticket.sequence
        val decision = scheduler.awaitDecision(ticket, state.call.route.name, state.sends == 0)
        if (state.relay.isStarted) {
            metrics.onStreamResumption(if (decision is FleetDecision.Send) "sent" else "refused")
        }
        return decision
    }

    private fun newTicket(state: State, avoid: Set<String>): FleetTicket {
        val call = state.call
        return FleetTicket(
            ticketSequences.incrementAndGet(),
            call.service,
            call.rank.value,
            call.metadata.promptTokens ?: 0,
            call.expectedEvents,
            dueAtMs = dueAtMs(state),
            startByMs = startByMs(state),
            avoid,
            maxRetryAfterMs = (call.deadlineAtMs - clock.nowMs()) / RETRY_AFTER_DIVISOR,
            sharedParts = call.sharedParts,
            account = call.account?.name,
            endByMs = call.deadlineAtMs,
            version = state.version
        )
    }

    /**
     * The latency target is for the first event. A stream that is resumed has met it or not, and
     * does not yield to requests that have received nothing yet.
     */
    private fun dueAtMs(state: State): Long =
        if (state.relay.isStarted) state.call.deadlineAtMs else state.call.dueAtMs

    private fun startByMs(state: State): Long {
        val call = state.call
        if (state.relay.isStarted) return call.deadlineAtMs
        return startByMs(call.route, call.arrivedAtMs, call.deadlineAtMs)
    }

    private suspend fun send(state: State, decision: FleetDecision.Send): SendResult {
        val targetId = decision.targetId
        var isSlotInUse = false
        try {
            val target = findTarget(targetId)
            if (target == null) {
                state.avoid += targetId
                return SendResult.NotRun("target is gone")
            }
            // The id may be in use again since the decision.
            if (!state.mayContinueAt(target)) {
                state.avoid += targetId
                return SendResult.NotRun("target has another version")
            }
            if (!isStartConfirmed(state, target)) {
                state.avoid += targetId
                return SendResult.NotRun("target may have restarted")
            }
            // The slot may be that of a request that was just ended, as this one is about to be.
            if (processEnd.isReached) return SendResult.NotRun("the process ends")
            onSend(state, decision)
            val policy = stallPolicy(state, decision.firstEventMs, Hedge(state, targetId))
            isSlotInUse = true
            val run = state.call.runs.Run()
            return awaitAttempt(state, target, run) { attempt(state, target, policy, run) }
        } finally {
            if (!isSlotInUse) scheduler.release(state.ticketSequence, FleetOutcome.UNSENT)
        }
    }

    /**
     * Whether the version of [target] is known well enough to send the request there. One that is
     * bound to no version may be sent to any start.
     */
    private suspend fun isStartConfirmed(state: State, target: TargetEntry): Boolean {
        val starts = targetStarts ?: return true
        val kind = state.call.route.kind
        if (state.version != null) return starts.mayContinueAt(target)
        if (kind is RouteKind.Streaming && kind.isSafeToRetry) starts.beforeStreamAt(target)
        return true
    }

    private suspend fun attempt(
        state: State,
        target: TargetEntry,
        policy: StallPolicy,
        run: RunRecord.Run
    ): TargetClient.Attempt {
        val beginning = begin(state, target, state.ticketSequence, policy, run)
        return when (beginning) {
            is TargetClient.Beginning.Ended -> beginning.attempt

            is TargetClient.Beginning.Responding -> {
                if (beginning.isSuccess && !state.call.isStreaming) recordWait(state)
                client.complete(state.call, beginning, state.relay, policy, state.bodies)
            }
        }
    }

    /** Tells the hedging policy how long the current send has been waited for. */
    private fun recordWait(state: State) {
        val sinceMs = state.waitingSinceMs ?: return
        state.waitingSinceMs = null
        val call = state.call
        hedging.onFirstEvent(call.service, call.promptTokens, clock.nowMs() - sinceMs)
    }

    /** Completes the run that has replaced one at a silent target. */
    private suspend fun complete(
        state: State,
        beginning: TargetClient.Beginning.Responding
    ): SendResult {
        val run = state.call.runs.Run().apply { onSend() }
        return awaitAttempt(state, beginning.target, run) {
            val policy = stallPolicy(state, 0)
            client.complete(state.call, beginning, state.relay, policy, state.bodies)
        }
    }

    private suspend fun begin(
        state: State,
        target: TargetEntry,
        ticketSequence: Long,
        policy: StallPolicy,
        run: RunRecord.Run
    ): TargetClient.Beginning = client.begin(
        state.call,
        target,
        state.relay.lastEventId,
        policy,
        SendObserver(state, target, ticketSequence, run)
    )

    private inner class SendObserver(
        private val state: State,
        private val target: TargetEntry,
        private val ticketSequence: Long,
        private val run: RunRecord.Run
    ) : TargetClient.Observer {
        override fun onSend() {
            run.onSend()
            if (ticketSequence == state.ticketSequence) state.waitingSinceMs = clock.nowMs()
        }

        override fun onUnsent() = run.onEnd(mayHaveRun = false)

        override fun onReport(report: TargetReport) {
            scheduler.onReport(ticketSequence, state.call.service, report)
            val restMs = report.restMs ?: return
            log.request(
                "target rests",
                state.call.requestId,
                "target" to target.id,
                "forMs" to restMs
            )
            metrics.onTargetRest()
        }

        override fun onForeignResponse(status: Int, requestId: String?) {
            log.request(
                "foreign response skipped",
                state.call.requestId,
                "target" to target.id,
                "status" to status,
                "responseId" to requestId
            )
            metrics.onForeignResponse()
        }
    }

    private suspend fun awaitAttempt(
        state: State,
        target: TargetEntry,
        run: RunRecord.Run,
        block: suspend () -> TargetClient.Attempt
    ): SendResult {
        state.currentTarget = target
        var outcome = FleetOutcome.CANCELLED
        var msPerEvent = 0.0
        val result = try {
            val attempt = block()
            outcome = attempt.outcome
            msPerEvent = attempt.msPerEvent
            run.onEnd(mayHaveRun = attempt.result !is SendResult.NotRun)
            attempt.result
        } finally {
            scheduler.release(state.ticketSequence, outcome, msPerEvent)
        }
        when (outcome) {
            FleetOutcome.ANSWERED -> Unit

            // The run was slower than its hedge, which is not a failure.
            FleetOutcome.CANCELLED -> state.avoid += target.id

            else -> onSendFailed(state, target, outcome, result)
        }
        return result
    }

    private fun onSend(state: State, decision: FleetDecision.Send, firstRun: FirstRun? = null) {
        val call = state.call
        state.sends++
        log.request(
            "sent", call.requestId, "target" to decision.targetId, "attempt" to state.sends,
            "route" to call.route.name, "account" to call.account?.name,
            "priority" to call.priority, "rank" to call.rank.value,
            "dueInMs" to call.dueAtMs - clock.nowMs(),
            "timeLeftMs" to call.deadlineAtMs - clock.nowMs(),
            "manifest" to call.manifestVersion, "waitedMs" to clock.nowMs() - call.arrivedAtMs,
            "predictedMs" to decision.firstEventMs, "promptTokens" to call.metadata.promptTokens,
            "version" to findTarget(decision.targetId)?.version,
            "resumesAfter" to state.relay.lastEventId,
            "takesUp" to call.metadata.takenUpStream?.firstRequestId,
            "takesUpAfter" to call.metadata.takenUpStream?.lastEventId,
            "whileSilent" to firstRun?.targetId?.takeUnless { firstRun.isHedged },
            "hedges" to firstRun?.targetId?.takeIf { firstRun.isHedged },
            "path" to findTarget(decision.targetId)?.let(client::pathTo)
        )
    }

    /**
     * Sends the request to another target while the current one is silent. Returns whether that one
     * has begun to respond with success; then the run there is the replacement.
     */
    private suspend fun tryReplace(state: State): Boolean {
        val call = state.call
        if (isLastRun(state)) return false
        if (!retryBudget.tryRetry(call.service, clock.nowMs())) return false
        val current = state.currentTarget?.id
        val ticket = newTicket(state, state.avoid + setOfNotNull(current))
        val decision = scheduler.awaitDecision(ticket, call.route.name, isFirst = false)
            as? FleetDecision.Send ?: return false
        return runReplacement(state, ticket, decision, FirstRun(current, isHedged = false))
    }

    /** The run that a replacement is sent beside. */
    private class FirstRun(
        val targetId: String?,
        /** Whether the replacement is a hedge. */
        val isHedged: Boolean
    )

    /** Sends the request with [ticket] while [firstRun] is in progress, as [tryReplace] does. */
    private suspend fun runReplacement(
        state: State,
        ticket: FleetTicket,
        decision: FleetDecision.Send,
        firstRun: FirstRun
    ): Boolean {
        val call = state.call
        var outcome = FleetOutcome.UNSENT
        var mayHaveRun = true
        val run = call.runs.Run()
        try {
            // A second run at the silent target would not help.
            val target = findTarget(decision.targetId)
                ?.takeIf { it.id != firstRun.targetId && state.mayContinueAt(it) }
                ?.takeIf { isStartConfirmed(state, it) }
                ?: return false
            onSend(state, decision, firstRun)
            outcome = FleetOutcome.CANCELLED
            val policy = StallPolicy.WaitUntilDeadline
            val beginning = begin(state, target, ticket.sequence, policy, run)
            when (beginning) {
                is TargetClient.Beginning.Ended -> {
                    val attempt = beginning.attempt
                    outcome = attempt.outcome
                    mayHaveRun = attempt.result !is SendResult.NotRun
                    onSendFailed(state, target, outcome, attempt.result)
                }

                is TargetClient.Beginning.Responding -> if (!beginning.isSuccess) {
                    beginning.close()
                    outcome = FleetOutcome.ERROR
                    val result =
                        SendResult.MayHaveRun("no success, ${beginning.response.status}")
                    onSendFailed(state, target, outcome, result)
                } else if (firstRun.isHedged && call.isStreaming && !beginning.awaitBody()) {
                    outcome = FleetOutcome.FAILED
                    val result = SendResult.MayHaveRun("broke off before an event")
                    onSendFailed(state, target, outcome, result)
                } else {
                    recordWait(state)
                    state.replacement = Replacement(ticket.sequence, beginning)
                }
            }
            return state.replacement != null
        } finally {
            if (firstRun.isHedged) logHedge(state, decision.targetId, outcome)
            // A replacement's run begins anew when it takes over from the silent one's.
            run.onEnd(mayHaveRun && state.replacement == null)
            if (state.replacement == null) scheduler.release(ticket.sequence, outcome)
        }
    }

    /** The hedge of the send of a request to [targetId]; there is one hedge for each request. */
    private inner class Hedge(private val state: State, private val targetId: String) :
        StallPolicy.Hedge {
        private val call = state.call
        private var isSent = false

        override fun dueInMs(): Long? {
            if (state.isHedged) return null
            val sinceMs = state.waitingSinceMs ?: return null
            val afterMs = hedging.hedgeAfterMs(call.service, call.promptTokens) ?: return null
            return afterMs - (clock.nowMs() - sinceMs)
        }

        override suspend fun run(): Boolean {
            state.isHedged = true
            if (isLastRun(state)) return false
            // Most requests that are due for a hedge end here, without work on the control thread.
            if (!hedging.hasHedge(call.service)) return skip(HedgingDecision.SHARE_USED_UP)
            val ticket = newTicket(state, state.avoid + targetId)
            val decision = scheduler.trySend(ticket, call.route.name)
            val hedgingDecision = hedging.decide(call.service, decision != null) {
                retryBudget.tryRetry(call.service, clock.nowMs())
            }
            if (decision == null) return skip(hedgingDecision)
            if (hedgingDecision != HedgingDecision.SEND) {
                scheduler.release(ticket.sequence, FleetOutcome.UNSENT)
                return skip(hedgingDecision)
            }
            isSent = true
            return runReplacement(state, ticket, decision, FirstRun(targetId, isHedged = true))
        }

        override fun onFirstRun(outcome: RunOutcome) {
            if (isSent) logRun(state, "first", targetId, outcome)
        }

        private fun skip(decision: HedgingDecision): Boolean {
            metrics.onHedge(decision.name)
            return false
        }
    }

    private fun logHedge(state: State, targetId: String, outcome: FleetOutcome) {
        val runOutcome = when {
            state.replacement != null -> RunOutcome.RESPONDED
            outcome == FleetOutcome.CANCELLED -> RunOutcome.CANCELLED
            else -> RunOutcome.FAILED
        }
        metrics.onHedge(runOutcome.name)
        logRun(state, "hedge", targetId, runOutcome)
    }

    private fun logRun(state: State, run: String, targetId: String, outcome: RunOutcome) =
        log.request(
            "hedged run",
            state.call.requestId,
            "run" to run,
            "target" to targetId,
            "outcome" to outcome.name,
            "afterMs" to clock.nowMs() - state.call.arrivedAtMs
        )

    /** Whether no run may be added to the current one. */
    private fun isLastRun(state: State): Boolean =
        state.call.runs.possibleCount + 1 >= state.call.route.maxAttempts ||
            state.sends >= MAX_SENDS

    private fun drop(replacement: Replacement) {
        replacement.beginning.close()
        scheduler.release(replacement.ticketSequence, FleetOutcome.CANCELLED)
    }

    private fun onSendFailed(
        state: State,
        target: TargetEntry,
        outcome: FleetOutcome,
        result: SendResult
    ) {
        state.avoid += target.id
        when (outcome) {
            FleetOutcome.CRASHED, FleetOutcome.GONE -> targetStarts?.onEnded(target)
            FleetOutcome.FAILED, FleetOutcome.UNREACHABLE -> targetStarts?.onBroken(target)
            else -> Unit
        }
        log.request(
            "send failed",
            state.call.requestId,
            "target" to target.id,
            "why" to "$result",
            "crashed" to (outcome == FleetOutcome.CRASHED),
            "events" to state.relay.eventCount,
            "promptParts" to state.call.metadata.promptParts.joinToString(",").ifEmpty { null }
        )
        metrics.onFailedSend(outcome.name)
    }

    /**
     * Returns whether to send the request again after [result], which takes a retry from the
     * budget.
     */
    private fun mayRetry(state: State, result: SendResult): Boolean {
        val call = state.call
        val mayHaveRun = when (result) {
            is SendResult.Streamed -> return false
            is SendResult.Answer -> if (result.status >= MIN_SERVER_ERROR) true else return false
            is SendResult.MayHaveRun -> true
            is SendResult.NotRun -> false
        }
        if (mayHaveRun && !call.route.kind.isSafeToRetry) return false
        if (mayHaveRun && call.runs.possibleCount >= call.route.maxAttempts) return false
        if (state.sends >= MAX_SENDS) return false
        val isAllowed = retryBudget.tryRetry(call.service, clock.nowMs())
        if (!isAllowed) log.request("retry budget spent", call.requestId, "sends" to state.sends)
        return isAllowed
    }

    private fun stallPolicy(
        state: State,
        predictedMs: Long,
        hedge: StallPolicy.Hedge? = null
    ): StallPolicy {
        val call = state.call
        if (!call.route.kind.isSafeToRetry || isLastRun(state)) return StallPolicy.WaitUntilDeadline
        val eventIntervalMs = (call.route.kind as? RouteKind.Streaming)?.maxEventIntervalMs ?: 0
        val firstEventTimeoutMs = maxOf(
            call.route.targetLatencyMs * STALL_LATENCY_FACTOR,
            predictedMs * STALL_PREDICTION_FACTOR,
            MIN_STALL_TIMEOUT_MS
        )
        return StallPolicy.FailOver(
            firstEventTimeoutMs,
            maxOf(eventIntervalMs * STALL_EVENT_INTERVAL_FACTOR, MIN_STALL_TIMEOUT_MS),
            hedge.takeIf { hedging.isEnabled }
        ) { tryReplace(state) }
    }

    private suspend fun finish(state: State): ForwardingResult {
        val last = state.lastResult
        // The time may have ended within the head of a stream, which no other response may follow.
        if (state.caller.responseProgress != ResponseProgress.NONE) {
            val failure = state.output.failure
            if (last is SendResult.Streamed && failure == null) {
                state.end { finishResponse() }
                return ForwardingResult(
                    OK,
                    "streamed",
                    isConnectionReusable = true,
                    hasNotRun = false,
                    state.relay
                )
            }
            // What the socket still holds must not stay there until the caller reads it.
            if (failure != null) state.caller.close()
            val notResumed = state.refusal?.let { ", not resumed: ${it.reason}" }.orEmpty()
            return ForwardingResult(
                OK,
                "stream broke off: ${failure ?: last ?: unansweredReason()}$notResumed",
                isConnectionReusable = false,
                hasNotRun = false,
                state.relay.takeIf { it.eventCount > 0 }
            )
        }
        if (last is SendResult.Answer) {
            state.end { send(last.status, last.headers, last.body) }
            return ForwardingResult(
                last.status,
                "answered",
                isConnectionReusable = true,
                hasNotRun = false
            )
        }
        return if (state.call.runs.hasNotRun) refuse(state) else fail(state)
    }

    private suspend fun refuse(state: State): ForwardingResult {
        val refusal = state.refusal
        val retryAfterMs = if (refusal == null) DEFAULT_RETRY_AFTER_MS else refusal.retryAfterMs
        val reason = refusal?.reason ?: state.lastResult?.toString() ?: unansweredReason()
        val headers = refusalHeaders(state.call.requestId, retryAfterMs)
        state.end { send(UNAVAILABLE, headers, ByteArray(0)) }
        return ForwardingResult(UNAVAILABLE, reason, isConnectionReusable = true, hasNotRun = true)
    }

    private suspend fun fail(state: State): ForwardingResult {
        val isLate = clock.nowMs() >= state.call.deadlineAtMs
        val status = if (isLate) GATEWAY_TIMEOUT else BAD_GATEWAY
        state.end { send(status, failureHeaders(state.call.requestId), ByteArray(0)) }
        val reason = state.lastResult?.toString() ?: unansweredReason()
        return ForwardingResult(status, reason, isConnectionReusable = true, hasNotRun = false)
    }

    private fun unansweredReason() = if (processEnd.isReached) "stopping" else "no time left"

    internal companion object {
        private val ticketSequences = java.util.concurrent.atomic.AtomicLong()
        private const val OK = 200
        private const val MIN_SERVER_ERROR = 500
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504
        private const val MAX_SENDS = 4

        /** Callers return within a third of the time that they have left. */
        const val RETRY_AFTER_DIVISOR = 3
        const val DEFAULT_RETRY_AFTER_MS = 300L

        // Callers abandon a stream after the longest of these times without an event.
        private const val MIN_GIVE_UP_MS = 2_000L
        private const val GIVE_UP_LATENCY_FACTOR = 4L
        private const val GIVE_UP_EVENT_INTERVAL_FACTOR = 8L

        // A target counts as stalled after the longest of these times without a response or event.
        private const val STALL_LATENCY_FACTOR = 2L
        private const val STALL_PREDICTION_FACTOR = 3L
        private const val STALL_EVENT_INTERVAL_FACTOR = 4L
        private const val MIN_STALL_TIMEOUT_MS = 350L

        /**
         * Returns the latest time at which sending a request on [route] is still useful, so that a
         * first event can arrive before the caller gives up. Times are in milliseconds.
         */
        fun startByMs(route: Route, arrivedAtMs: Long, deadlineAtMs: Long): Long {
            val latency = route.targetLatencyMs
            val streaming = route.kind as? RouteKind.Streaming
            val giveUpAfterMs = if (streaming == null) {
                deadlineAtMs - arrivedAtMs
            } else {
                maxOf(
                    MIN_GIVE_UP_MS,
                    GIVE_UP_LATENCY_FACTOR * latency,
                    GIVE_UP_EVENT_INTERVAL_FACTOR * streaming.maxEventIntervalMs
                )
            }
            val giveUpAtMs = minOf(deadlineAtMs, arrivedAtMs + giveUpAfterMs)
            val responseTimeMs = minOf(latency / 2, (giveUpAtMs - arrivedAtMs) / 2)
            return giveUpAtMs - responseTimeMs
        }

        /** Returns the headers of a failure, which promises nothing about the request. */
        fun failureHeaders(requestId: String?): List<Header> =
            listOfNotNull(requestId?.let { Header(PlatformHeaders.REQUEST_ID, it) })

        private val Call.promptTokens: Int get() = metadata.promptTokens ?: 0
        private val Call.isStreaming: Boolean get() = route.kind is RouteKind.Streaming

        /**
         * Returns the headers of a refusal, which guarantees that the request did not run.
         * [retryAfterMs] is written in seconds.
         */
        fun refusalHeaders(requestId: String?, retryAfterMs: Long?): List<Header> = listOfNotNull(
            requestId?.let { Header(PlatformHeaders.REQUEST_ID, it) },
            retryAfterMs?.let {
                Header(PlatformHeaders.RETRY_AFTER, "%.3f".format(java.util.Locale.ROOT, it / 1e3))
            }
        )
    }
}
