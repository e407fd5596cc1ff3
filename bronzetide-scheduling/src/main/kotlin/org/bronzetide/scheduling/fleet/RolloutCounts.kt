package org.bronzetide.scheduling.fleet

/** The responses during a rollout by route, of the new version and of all others, added up. */
public data class RolloutCounts(
    val newByRoute: Map<String, VersionCounts> = emptyMap(),
    val oldByRoute: Map<String, VersionCounts> = emptyMap(),
    /** The targets of the new version that a request has failed at. */
    val failedTargets: Set<String> = emptySet()
) {
    /** The counts of the new version on all routes. */
    val newTotal: VersionCounts get() = newByRoute.values.sum()

    /** The sum of both counts. */
    public operator fun plus(other: RolloutCounts): RolloutCounts = RolloutCounts(
        newByRoute.merged(other.newByRoute),
        oldByRoute.merged(other.oldByRoute),
        failedTargets + other.failedTargets
    )

    /** What was counted since [earlier]; targets that have failed stay included. */
    public operator fun minus(earlier: RolloutCounts): RolloutCounts = RolloutCounts(
        newByRoute.mapValues { it.value - (earlier.newByRoute[it.key] ?: VersionCounts()) },
        oldByRoute.mapValues { it.value - (earlier.oldByRoute[it.key] ?: VersionCounts()) },
        failedTargets
    )

    /** Adds to the counts of [route] what [change] makes of them. */
    public fun withRoute(
        route: String,
        isNew: Boolean,
        change: (VersionCounts) -> VersionCounts
    ): RolloutCounts {
        val byRoute = if (isNew) newByRoute else oldByRoute
        val changed = byRoute + (route to change(byRoute[route] ?: VersionCounts()))
        return if (isNew) copy(newByRoute = changed) else copy(oldByRoute = changed)
    }

    private fun Map<String, VersionCounts>.merged(other: Map<String, VersionCounts>) =
        (keys + other.keys).associateWith {
            (this[it] ?: VersionCounts()) + (other[it] ?: VersionCounts())
        }
}

/** The sum of all counts. */
internal fun Collection<VersionCounts>.sum(): VersionCounts =
    fold(VersionCounts()) { sum, it -> sum + it }
