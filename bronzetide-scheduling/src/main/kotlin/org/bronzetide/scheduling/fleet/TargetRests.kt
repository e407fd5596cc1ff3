package org.bronzetide.scheduling.fleet

/**
 * The times until which targets want no requests from this host, for requests that have no ticket:
 * another host's scheduler has chosen the target. Single-threaded.
 */
public class TargetRests internal constructor(private val find: (TargetRef) -> TargetLoad?) {
    /** Records that [target] wants no requests from this host before [untilMs]. */
    public fun onRest(target: TargetRef, untilMs: Long) {
        find(target)?.rest(untilMs)
    }

    /** Whether [target] wants no requests from this host at [nowMs]. */
    public fun isResting(target: TargetRef, nowMs: Long): Boolean =
        find(target)?.let { it.restingUntilMs > nowMs } ?: false
}
