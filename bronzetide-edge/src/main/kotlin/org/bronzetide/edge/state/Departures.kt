package org.bronzetide.edge.state

import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.platform.fleet.SocketAddress
import org.bronzetide.platform.fleet.TargetEntry

/**
 * The targets that have said in a response that they leave. They get no further requests, whatever
 * their entries in the store say, until another start of a target is registered there.
 *
 * Thread-safe: a departure counts for requests from the moment at which the response is read.
 */
internal class Departures(private val log: DecisionLog, private val onChange: () -> Unit) {
    private val starts = object : LinkedHashMap<Start, Unit>() {
        override fun removeEldestEntry(eldest: Map.Entry<Start, Unit>) = size > MAX_DEPARTURES
    }

    /** The number of departures so far. */
    @Volatile
    var count = 0L
        private set

    /** Records that [target] leaves. */
    fun mark(target: TargetEntry) {
        synchronized(starts) {
            if (starts.put(Start.of(target), Unit) != null) return
            count++
        }
        log.stateChange(
            "target leaving",
            "target" to target.id,
            "service" to target.service,
            "address" to target.address.toString()
        )
        onChange()
    }

    /** Whether [target] has said that it leaves. */
    operator fun contains(target: TargetEntry): Boolean =
        synchronized(starts) { Start.of(target) in starts }

    /** One start of a target. */
    private data class Start(val id: String, val address: SocketAddress, val startedAtMs: Long) {
        companion object {
            fun of(target: TargetEntry) = Start(target.id, target.address, target.startedAtMs)
        }
    }

    private companion object {
        /** Several times the targets of a large deployment that leave within an hour. */
        const val MAX_DEPARTURES = 2_000
    }
}
