package org.bronzetide.edge.forwarding

import java.io.IOException
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.IncomingResponse

/**
 * Passes the events of a stream on to its caller, whole and each once, also over several runs: a
 * run that goes on for a broken one keeps the first one's head, and repeated events are left out.
 */
internal class StreamRelay(
    private val caller: CallerConnection,
    private val clock: MonotonicClock,
    private val onFirstEvent: () -> Unit,
    /** Told once in each run the milliseconds between its first events. */
    private val onEventInterval: (Double) -> Unit
) {
    /** Whether the head of the answer was passed on. */
    var isStarted = false
        private set

    /** The id of the last event that was passed on, or `null`. */
    var lastEventId: Long? = null
        private set

    /** The events passed on so far. */
    var eventCount = 0
        private set

    /** When the first event was passed on, or 0. */
    var firstEventAtMs = 0L
        private set

    /** The longest time between two events that were passed on, in milliseconds. */
    var longestPauseMs = 0L
        private set
    private var lastEventAtMs = 0L

    /**
     * Passes [answer] on to its end and returns the milliseconds between its events, 0 if there
     * were too few to tell.
     *
     * @throws IOException if the target or the caller breaks off.
     */
    suspend fun relay(answer: IncomingResponse, patience: StallPolicy): Double {
        val splitter = EventSplitter()
        var firstAtMs = 0L
        var lastAtMs = 0L
        var ownCount = 0
        while (true) {
            val piece =
                patience.await(isFirst = ownCount == 0) { answer.body.readAvailable() } ?: break
            val events = splitter.feed(piece).filterNot(::isRepeated)
            if (events.isEmpty()) continue
            lastAtMs = clock.nowMs()
            if (ownCount == 0) {
                firstAtMs = lastAtMs
                onFirstEvent()
            }
            val isPaceNew = ownCount <= MIN_INTERVALS && ownCount + events.size > MIN_INTERVALS
            ownCount += events.size
            if (isPaceNew) onEventInterval((lastAtMs - firstAtMs).toDouble() / (ownCount - 1))
            passOn(answer, events)
        }
        if (splitter.incompleteEvent.isNotEmpty()) throw IOException("stream ended within an event")
        if (!isStarted) start(answer)
        val intervals = ownCount - 1
        return if (intervals < MIN_INTERVALS) 0.0 else (lastAtMs - firstAtMs).toDouble() / intervals
    }

    private suspend fun passOn(answer: IncomingResponse, events: List<EventSplitter.Event>) {
        if (!isStarted) start(answer)
        caller.sendChunk(events.map { it.bytes }.reduce(ByteArray::plus))
        val nowMs = clock.nowMs()
        if (eventCount == 0) {
            firstEventAtMs = nowMs
        } else {
            longestPauseMs = maxOf(longestPauseMs, nowMs - lastEventAtMs)
        }
        lastEventAtMs = nowMs
        eventCount += events.size
        events.lastOrNull { it.id != null }?.let { lastEventId = it.id }
    }

    private suspend fun start(answer: IncomingResponse) {
        caller.startResponse(answer.status, answer.headers.endToEnd())
        isStarted = true
    }

    private fun isRepeated(event: EventSplitter.Event): Boolean {
        val last = lastEventId ?: return false
        return event.id?.let { it <= last } ?: false
    }

    private companion object {
        const val MIN_INTERVALS = 4
    }
}
