package org.bronzetide.edge.state

import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.platform.fleet.TargetEntry
import org.bronzetide.scheduling.fleet.SoftwareVersion
import org.bronzetide.scheduling.fleet.TargetRef
import org.bronzetide.scheduling.fleet.TargetStart

/**
 * The targets that have said in a response that they leave, to this host or to another one. They
 * get no further requests, whatever their entries in the store say, until another start of a target
 * is registered there.
 *
 * Thread-safe: a departure counts for requests from the moment at which the response is read.
 */
internal class Departures(
    private val log: DecisionLog,
    private val onDeparture: (TargetRef) -> Unit
) {
    private val departed = object : LinkedHashMap<TargetRef, Unit>() {
        override fun removeEldestEntry(eldest: Map.Entry<TargetRef, Unit>) = size > MAX_DEPARTURES
    }

    /** The number of departures so far. */
    @Volatile
    var count = 0L
        private set

    /** Records that [target] has said to this host that it leaves. */
    fun mark(target: TargetEntry) = mark(target.ref, heardFrom = "target")

    /** Records that [target] has said to another host that it leaves. */
    fun markAsHeardByPeer(target: TargetRef) = mark(target, heardFrom = "peer")

    private fun mark(target: TargetRef, heardFrom: String) {
        synchronized(departed) {
            if (departed.put(target, Unit) != null) return
            count++
        }
        log.stateChange("target leaving", "target" to target.id, "heardFrom" to heardFrom)
        onDeparture(target)
    }

    /** Whether [target] has said that it leaves. */
    operator fun contains(target: TargetEntry): Boolean =
        synchronized(departed) { target.ref in departed }

    private companion object {
        /** Several times the targets of a large deployment that leave within an hour. */
        const val MAX_DEPARTURES = 2_000
    }
}

/** This start of the target. */
internal val TargetEntry.ref: TargetRef get() = TargetRef(id, TargetStart(startHash))

/** The version that this start of the target runs. */
internal val TargetEntry.software: SoftwareVersion get() = SoftwareVersion.of(version, ref)
