package org.bronzetide.node.entry

import java.util.concurrent.atomic.AtomicInteger
import org.bronzetide.coordination.RefusalReason

/**
 * Counts the requests in progress at this node, and rejects new ones while the node is not ready or
 * drains.
 *
 * The count is raised before the check for a drain, so that a drain that calls [close] and then
 * reads [count] misses no request. Thread-safe.
 */
internal class InFlightRequests(private val isReady: () -> Boolean) {
    private val inFlight = AtomicInteger()

    @Volatile
    private var isClosed = false

    /** The number of requests and detached executions in progress. */
    val count: Int get() = inFlight.get()

    /** Counts a new request and returns `null`, or returns the reason of its refusal. */
    fun tryStart(): RefusalReason? {
        inFlight.incrementAndGet()
        var isCounted = false
        try {
            isCounted = !isClosed && isReady()
        } finally {
            if (!isCounted) inFlight.decrementAndGet()
        }
        return if (isCounted) null else RefusalReason.UNAVAILABLE
    }

    /** Counts an execution that may continue after its caller disconnects. */
    fun startDetached() {
        inFlight.incrementAndGet()
    }

    /** Ends what [tryStart] or [startDetached] counted. */
    fun finish() {
        inFlight.decrementAndGet()
    }

    /** Rejects all further requests. */
    fun close() {
        isClosed = true
    }
}
