package org.bronzetide.edge.forwarding

import java.io.IOException
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.memory.ByteCredits
import org.bronzetide.http.Framing
import org.bronzetide.http.IncomingResponse

/**
 * Relays the events of a stream to the caller, each one complete and only once, across several runs
 * of the request. A run that resumes a broken one keeps the first run's status and headers, and
 * events that were already relayed are dropped. While the caller reads too slowly, [output] holds
 * what was relayed, and the target is still read.
 */
internal class StreamRelay(
    private val output: CallerOutput,
    private val clock: MonotonicClock,
    /** Holds the unfinished events of all streams. */
    private val eventMemory: ByteCredits,
    /** Called before the first event of the stream is written to the caller. */
    private val onStart: () -> Unit,
    /** Called on the first event of each run. */
    private val onFirstEvent: () -> Unit,
    /** Called at most once in each run with the average milliseconds between its first events. */
    private val onEventInterval: (Double) -> Unit
) {
    /** Whether the status and headers were written to the output. */
    var isStarted = false
        private set

    /** The id of the last relayed event that has one, or `null`. */
    var lastEventId: Long? = null
        private set

    /** The number of events relayed so far. */
    var eventCount = 0
        private set

    /** When the first event was relayed, in milliseconds on the clock, or 0. */
    var firstEventAtMs = 0L
        private set

    /** The longest time between two consecutive writes of events to the output, in milliseconds. */
    var longestPauseMs = 0L
        private set
    private var lastEventAtMs = 0L

    /** The most bytes that were held at a time as the caller had not taken them. */
    val mostHeldBytes: Long get() = output.mostHeldBytes

    /**
     * Relays [response] to its end and returns the average milliseconds between its events, or 0 if
     * there were too few events to tell.
     *
     * @throws IOException if the connection to the target or the caller breaks, or if the stream
     * ends within an event, or before one: only with its connection, or although it is resumed.
     * @throws TargetStalledException if [stallPolicy] abandons the target.
     */
    suspend fun relayResponse(response: IncomingResponse, stallPolicy: StallPolicy): Double =
        EventSplitter(eventMemory).use { relayResponse(response, stallPolicy, it) }

    private suspend fun relayResponse(
        response: IncomingResponse,
        stallPolicy: StallPolicy,
        splitter: EventSplitter
    ): Double {
        val isResumed = isStarted
        var firstAtMs = 0L
        var lastAtMs = 0L
        var runEvents = 0
        var hasContent = false
        while (true) {
            val events =
                stallPolicy.await(isFirst = runEvents == 0) { readEvents(response, splitter) }
                    ?: break
            lastAtMs = clock.nowMs()
            if (runEvents == 0) {
                firstAtMs = lastAtMs
                onFirstEvent()
            }
            val isNowKnown =
                runEvents <= MIN_INTERVALS && runEvents + events.size > MIN_INTERVALS
            runEvents += events.size
            hasContent = hasContent || events.any { it.hasContent }
            if (isNowKnown) onEventInterval((lastAtMs - firstAtMs).toDouble() / (runEvents - 1))
            sendToCaller(response, events)
        }
        if (splitter.isWithinEvent) throw IOException("stream ended within an event")
        // What was cut is not complete because another run has nothing to add.
        if (!hasContent && (isResumed || response.framing == Framing.UntilClose)) {
            throw IOException("stream ended before an event")
        }
        if (!isStarted) startResponse(response)
        val intervals = runEvents - 1
        return if (intervals < MIN_INTERVALS) 0.0 else (lastAtMs - firstAtMs).toDouble() / intervals
    }

    /**
     * Reads until there is an event with new content and returns it with those before it, or
     * returns `null` at the end of the stream. Bytes of unfinished events, comments and repeated
     * events are no progress: a target that sends only such has stalled.
     */
    private suspend fun readEvents(
        response: IncomingResponse,
        splitter: EventSplitter
    ): List<EventSplitter.Event>? {
        val events = ArrayList<EventSplitter.Event>()
        while (true) {
            val chunk = response.body.readAvailable() ?: return events.ifEmpty { null }
            if (addNewEvents(events, splitter.feed(chunk))) return events
        }
    }

    /**
     * Adds those of [found] that were not relayed yet to [events], and returns whether there is one
     * with content. Apart from the loop, as C1 cannot compile a loop that suspends.
     */
    private fun addNewEvents(
        events: MutableList<EventSplitter.Event>,
        found: List<EventSplitter.Event>
    ): Boolean {
        events += found.filterNot(::isDuplicate)
        val heldBytes = events.sumOf { it.bytes.size }
        if (heldBytes > MAX_HELD_BYTES) events.removeAll { !it.hasContent }
        return events.any { it.hasContent }
    }

    private suspend fun sendToCaller(
        response: IncomingResponse,
        events: List<EventSplitter.Event>
    ) {
        if (!isStarted) {
            onStart()
            startResponse(response)
        }
        output.write(joined(events))
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

    private fun joined(events: List<EventSplitter.Event>): ByteArray {
        val bytes = ByteArray(events.sumOf { it.bytes.size })
        events.fold(0) { offset, event ->
            event.bytes.copyInto(bytes, offset)
            offset + event.bytes.size
        }
        return bytes
    }

    private suspend fun startResponse(response: IncomingResponse) {
        output.begin(response.status, response.headers.endToEnd())
        isStarted = true
    }

    private fun isDuplicate(event: EventSplitter.Event): Boolean {
        val last = lastEventId ?: return false
        return event.id?.let { it <= last } ?: false
    }

    private companion object {
        /** Comments before the next event; more are dropped. */
        const val MAX_HELD_BYTES = 4_096

        /** The fewest event intervals whose average is reported. */
        const val MIN_INTERVALS = 4
    }
}
