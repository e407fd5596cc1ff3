package org.bronzetide.scheduling.fleet

/** The responses during a rollout by route, of the new version and of all others, added up. */
public data class RolloutCounts(
    val newByRoute: Map<String, VersionCounts> = emptyMap(),
    val oldByRoute: Map<String, VersionCounts> = emptyMap(),
    /** The failures of the new version by target. */
    val failuresByTarget: Map<String, Long> = emptyMap()
) {
    /** The counts of the new version on all routes. */
    val newTotal: VersionCounts get() = newByRoute.values.sum()

    /** The sum of both counts. */
    public operator fun plus(other: RolloutCounts): RolloutCounts = RolloutCounts(
        newByRoute.merged(other.newByRoute),
        oldByRoute.merged(other.oldByRoute),
        (failuresByTarget.keys + other.failuresByTarget.keys).associateWith {
            (failuresByTarget[it] ?: 0) + (other.failuresByTarget[it] ?: 0)
        }
    )

    /** What was counted since [earlier]. */
    public operator fun minus(earlier: RolloutCounts): RolloutCounts = RolloutCounts(
        newByRoute.mapValues { it.value - (earlier.newByRoute[it.key] ?: VersionCounts()) },
        oldByRoute.mapValues { it.value - (earlier.oldByRoute[it.key] ?: VersionCounts()) },
        failuresByTarget.mapValues { (target, failures) ->
            (failures - (earlier.failuresByTarget[target] ?: 0)).coerceAtLeast(0)
        }.filterValues { it > 0 }
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

    /** Adds a failure of the new version at [target]; counts at most [MAX_TARGETS] targets. */
    public fun withFailureAt(target: String): RolloutCounts {
        if (target !in failuresByTarget && failuresByTarget.size >= MAX_TARGETS) return this
        return copy(failuresByTarget = failuresByTarget + (target to failuresAt(target) + 1))
    }

    private fun failuresAt(target: String) = failuresByTarget[target] ?: 0

    private fun Map<String, VersionCounts>.merged(other: Map<String, VersionCounts>) =
        (keys + other.keys).associateWith {
            (this[it] ?: VersionCounts()) + (other[it] ?: VersionCounts())
        }

    private companion object {
        /** More than a host sends to before a fault is found; bounds the size of messages. */
        const val MAX_TARGETS = 8
    }
}

/** The sum of all counts. */
internal fun Collection<VersionCounts>.sum(): VersionCounts =
    fold(VersionCounts(), VersionCounts::plus)
