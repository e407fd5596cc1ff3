package org.bronzetide.node.entry

import java.util.concurrent.atomic.AtomicInteger
import org.bronzetide.coordination.RefusalReason

/** Counts the requests inside the node and closes for new ones when the node stops. */
internal class InFlightRequests(private val isReady: () -> Boolean) {
    private val inFlight = AtomicInteger()

    @Volatile
    private var isClosed = false

    /** The requests that have entered and not left. */
    val count: Int get() = inFlight.get()

    /** Lets a request in, or says why not. */
    fun tryStart(): RefusalReason? {
        inFlight.incrementAndGet()
        if (!isClosed && isReady()) return null
        inFlight.decrementAndGet()
        return RefusalReason.UNAVAILABLE
    }

    /** Counts work that goes on after its request has left. */
    fun startDetached() {
        inFlight.incrementAndGet()
    }

    /** Ends a request that entered, or work that was held. */
    fun finish() {
        inFlight.decrementAndGet()
    }

    /** Lets no further request in. */
    fun close() {
        isClosed = true
    }
}
