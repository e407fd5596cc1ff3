package org.bronzetide.edge.forwarding

import org.bronzetide.scheduling.fleet.FleetOutcome

/** Is told of each send to a target and of its end, on the control thread. */
internal interface SendListener {
    /**
     * The request of ticket [sequence] on [route] is sent to [targetId]; [isFirst] tells that it
     * was not sent before. Called after the scheduler has made all decisions that it can make.
     */
    fun onSend(sequence: Long, service: String, route: String, targetId: String, isFirst: Boolean)

    /** The send for ticket [sequence] ended with [outcome] at [nowMs]. */
    fun onEnd(sequence: Long, outcome: FleetOutcome, nowMs: Long)
}
