package org.bronzetide.scheduling.fleet

/** The version of a service's targets. */
@JvmInline
public value class ServiceVersion(public val name: String)

/** An operator's order to shift the traffic of [service] to its targets of version [to]. */
public data class RolloutOrder(
    val service: String,
    val to: ServiceVersion,
    /** The time from the order until it must be decided, in milliseconds. */
    val durationMs: Long
)

/** What is decided on a rollout. */
public sealed class RolloutDecision {
    /** The version gets its share of the requests and is judged. */
    public data object Undecided : RolloutDecision()

    /** All requests go to the version. */
    public data object Completed : RolloutDecision()

    /** The version gets no requests. [evidence] says why. */
    public data class RolledBack(val evidence: String) : RolloutDecision()
}
