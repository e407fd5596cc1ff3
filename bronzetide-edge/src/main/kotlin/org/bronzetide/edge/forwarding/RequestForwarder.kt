package org.bronzetide.edge.forwarding

import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.Header
import org.bronzetide.platform.fleet.PlatformHeaders
import org.bronzetide.platform.fleet.RouteKind
import org.bronzetide.platform.fleet.TargetEntry
import org.bronzetide.scheduling.fleet.FleetDecision
import org.bronzetide.scheduling.fleet.FleetOutcome
import org.bronzetide.scheduling.fleet.FleetTicket
import org.bronzetide.scheduling.fleet.WindowedRetryBudget

/** What an exchange gave its caller. */
internal class ForwardingResult(
    val status: Int,
    val reason: String,
    /** Whether the caller's connection may carry another request. */
    val isConnectionReusable: Boolean,
    /** Whether no target ran the request. */
    val hasNotRun: Boolean,
    /** How the answer's events came, where it was a stream. */
    val stream: StreamRelay? = null
)

/**
 * Takes an admitted request to its final answer: waits for a turn, sends it, and sends it again
 * where that is allowed and useful.
 *
 * A request that may have run is sent again only if its kind allows it. What did not run for sure
 * may be sent to another target, as far as the budget for repeats goes.
 */
internal class RequestForwarder(
    private val turns: SchedulerAdapter,
    private val client: TargetClient,
    private val clock: MonotonicClock,
    private val budget: WindowedRetryBudget,
    private val findTarget: (String) -> TargetEntry?,
    private val log: DecisionLog,
    private val metrics: EdgeMetrics
) {
    /** Answers [call] on [caller]; the caller's leaving cancels it. */
    suspend fun forward(call: Call, caller: CallerConnection): ForwardingResult {
        val state = State(call, caller)
        val leftMs = call.deadlineAtMs - clock.nowMs()
        withTimeoutOrNull(leftMs.coerceAtLeast(1)) { attempts(state) }
        return finish(state)
    }

    private inner class State(val call: Call, val caller: CallerConnection) {
        val avoid = HashSet<String>()
        val relay = StreamRelay(
            caller,
            clock,
            onFirstEvent = {
                turns.onFirstEvent(turnSequence)
                metrics.onFirstEvent(call.priority, clock.nowMs() - call.arrivedAtMs)
            },
            onEventInterval = { turns.onEventInterval(turnSequence, it) }
        )
        var turnSequence = 0L
        var sends = 0
        var runs = 0
        var refusal: FleetDecision.Refuse? = null
        var last: SendResult? = null
        var isInFlight = false

        /** Whether the budget has granted one more send already. */
        var hasRepeat = false
    }

    private suspend fun attempts(state: State) {
        budget.onRequest(state.call.service, clock.nowMs())
        while (true) {
            when (val decision = turn(state)) {
                is FleetDecision.Refuse -> {
                    state.refusal = decision
                    return
                }

                is FleetDecision.Send -> {
                    val result = send(state, decision)
                    state.last = result
                    if (!maySendAgain(state, result)) return
                }
            }
        }
    }

    private suspend fun turn(state: State): FleetDecision {
        val call = state.call
        state.turnSequence = turnSequences.incrementAndGet()
        val ticket = FleetTicket(
            state.turnSequence,
            call.service,
            call.priority,
            call.facts.promptTokens ?: 0,
            call.expectedEvents,
            dueAtMs = dueAtMs(call),
            startByMs = startByMs(state),
            state.avoid.toSet()
        )
        return turns.awaitDecision(ticket)
    }

    /** A request that was refused and came back has less time left than its route gives. */
    private fun dueAtMs(call: Call): Long {
        val firstAskedAtMs = call.deadlineAtMs - call.route.timeoutMs
        return firstAskedAtMs + call.route.targetLatencyMs
    }

    /** A request is sent only while its first event can still come before its caller gives up. */
    private fun startByMs(state: State): Long {
        val call = state.call
        val latency = call.route.targetLatencyMs
        val streaming = call.route.kind as? RouteKind.Streaming
        if (state.relay.isStarted) return call.deadlineAtMs
        val givesUpMs = if (streaming == null) {
            call.deadlineAtMs - call.arrivedAtMs
        } else {
            maxOf(
                GIVE_UP_MS,
                GIVE_UP_LATENCIES * latency,
                GIVE_UP_PAUSES * streaming.maxEventIntervalMs
            )
        }
        val deadlineAtMs = minOf(call.deadlineAtMs, call.arrivedAtMs + givesUpMs)
        val neededMs = minOf(latency / 2, (deadlineAtMs - call.arrivedAtMs) / 2)
        return deadlineAtMs - neededMs
    }

    private suspend fun send(state: State, decision: FleetDecision.Send): SendResult {
        val call = state.call
        val targetId = decision.targetId
        val target = findTarget(targetId)
        if (target == null) {
            turns.release(state.turnSequence, FleetOutcome.CANCELLED)
            state.avoid += targetId
            return SendResult.NotRun("target is gone")
        }
        log.request(
            "sent", call.requestId, "target" to targetId, "attempt" to state.sends + 1,
            "route" to call.route.name, "account" to call.account?.name,
            "manifest" to call.manifestVersion, "waitedMs" to clock.nowMs() - call.arrivedAtMs,
            "predictedMs" to decision.firstEventMs, "promptTokens" to call.facts.promptTokens,
            "resumesAfter" to state.relay.lastEventId
        )
        state.sends++
        state.isInFlight = true
        var outcome = FleetOutcome.CANCELLED
        var msPerEvent = 0.0
        val result = try {
            val sent = client.send(
                call,
                target,
                state.relay,
                patience(state, decision.firstEventMs)
            )
            outcome = sent.outcome
            msPerEvent = sent.msPerEvent
            state.isInFlight = false
            sent.result
        } finally {
            turns.release(state.turnSequence, outcome, msPerEvent)
        }
        if (outcome != FleetOutcome.ANSWERED) {
            state.avoid += targetId
            log.request("send failed", call.requestId, "target" to targetId, "why" to "$result")
            metrics.onFailedSend(outcome.name)
        }
        return result
    }

    private fun maySendAgain(state: State, result: SendResult): Boolean {
        val call = state.call
        val wasRun = when (result) {
            is SendResult.Streamed -> return false
            is SendResult.Answer -> if (result.status >= SERVER_FAILURE) true else return false
            is SendResult.MayHaveRun -> true
            is SendResult.NotRun -> false
        }
        if (wasRun) state.runs++
        if (wasRun && !call.route.kind.isSafeToRetry) return false
        if (wasRun && state.runs >= call.route.maxAttempts) return false
        if (state.sends >= MAX_SENDS) return false
        val isAllowed = state.hasRepeat || budget.tryRetry(call.service, clock.nowMs())
        state.hasRepeat = false
        if (!isAllowed) log.request("repeat budget spent", call.requestId, "sends" to state.sends)
        return isAllowed
    }

    private fun patience(state: State, predictedMs: Long): StallPolicy {
        val call = state.call
        val isLastRun = !call.route.kind.isSafeToRetry || state.runs + 1 >= call.route.maxAttempts
        if (isLastRun || state.sends >= MAX_SENDS) return StallPolicy.WaitUntilDeadline
        val pauseMs = (call.route.kind as? RouteKind.Streaming)?.maxEventIntervalMs ?: 0
        val firstMs = maxOf(
            call.route.targetLatencyMs * SILENT_LATENCIES,
            predictedMs * SILENT_PREDICTIONS,
            MIN_SILENCE_MS
        )
        return StallPolicy.FailOver(firstMs, maxOf(pauseMs * SILENT_PAUSES, MIN_SILENCE_MS)) {
            state.hasRepeat = budget.tryRetry(call.service, clock.nowMs())
            state.hasRepeat
        }
    }

    private suspend fun finish(state: State): ForwardingResult {
        val last = state.last
        if (state.relay.isStarted) {
            if (last is SendResult.Streamed) {
                state.caller.finishResponse()
                return ForwardingResult(
                    OK,
                    "streamed",
                    isConnectionReusable = true,
                    hasNotRun = false,
                    state.relay
                )
            }
            return ForwardingResult(
                OK,
                "stream broke off: $last",
                isConnectionReusable = false,
                hasNotRun = false,
                state.relay
            )
        }
        if (last is SendResult.Answer) {
            state.caller.send(last.status, last.headers, last.body)
            return ForwardingResult(
                last.status,
                "answered",
                isConnectionReusable = true,
                hasNotRun = false
            )
        }
        val hasNotRun = state.runs == 0 && !state.isInFlight
        return if (hasNotRun) refuse(state) else fail(state)
    }

    private suspend fun refuse(state: State): ForwardingResult {
        val retryAfterMs = state.refusal?.retryAfterMs ?: DEFAULT_RETRY_MS
        val reason = state.refusal?.reason ?: state.last?.toString() ?: "no time left"
        state.caller.send(
            UNAVAILABLE,
            refusalHeaders(state.call.requestId, retryAfterMs),
            ByteArray(0)
        )
        return ForwardingResult(UNAVAILABLE, reason, isConnectionReusable = true, hasNotRun = true)
    }

    private suspend fun fail(state: State): ForwardingResult {
        val isLate = clock.nowMs() >= state.call.deadlineAtMs
        val status = if (isLate) TIMED_OUT else BAD_GATEWAY
        val headers =
            listOfNotNull(state.call.requestId?.let { Header(PlatformHeaders.REQUEST_ID, it) })
        state.caller.send(status, headers, ByteArray(0))
        val reason = state.last?.toString() ?: "no answer in time"
        return ForwardingResult(status, reason, isConnectionReusable = true, hasNotRun = false)
    }

    internal companion object {
        private val turnSequences = java.util.concurrent.atomic.AtomicLong()
        private const val OK = 200
        private const val SERVER_FAILURE = 500
        private const val BAD_GATEWAY = 502
        private const val UNAVAILABLE = 503
        private const val TIMED_OUT = 504
        private const val MAX_SENDS = 4
        private const val DEFAULT_RETRY_MS = 300L

        // Callers leave a stream after the longest of these without an event.
        private const val GIVE_UP_MS = 2_000L
        private const val GIVE_UP_LATENCIES = 4L
        private const val GIVE_UP_PAUSES = 8L

        // A target counts as silent after the longest of these without an answer or event.
        private const val SILENT_LATENCIES = 2L
        private const val SILENT_PREDICTIONS = 3L
        private const val SILENT_PAUSES = 4L
        private const val MIN_SILENCE_MS = 350L

        /** The headers of a refusal that promises that the request did not run. */
        fun refusalHeaders(requestId: String?, retryAfterMs: Long?): List<Header> = listOfNotNull(
            requestId?.let { Header(PlatformHeaders.REQUEST_ID, it) },
            retryAfterMs?.let {
                Header(PlatformHeaders.RETRY_AFTER, "%.3f".format(java.util.Locale.ROOT, it / 1e3))
            }
        )
    }
}
