package org.bronzetide.scheduling.fleet

/** A version of a service whose targets get no requests; `null` is that of targets without one. */
public data class HeldVersion(val service: String, val version: String?)

/**
 * Finds the versions that might be under an order which this host has not read yet.
 *
 * Targets and orders are read by separate watches, and either may be late or fail. A version that
 * appears beside another one of its service is held until the orders have been read after that. If
 * none have ever been read, only the version of the target that started first is used. Times are in
 * milliseconds on the host's clock.
 */
public class HeldVersions {
    private val seenAtMs = HashMap<HeldVersion, Long>()
    private val cleared = HashSet<HeldVersion>()
    private var areOrdersKnown = false
    private var areTargetsKnown = false

    /** The versions to hold. */
    public val held: Set<HeldVersion> get() = seenAtMs.keys - cleared

    /**
     * Replaces the targets. [startedAtMs] returns the start of a target in Unix time, or 0 if it is
     * unknown.
     */
    public fun updateTargets(
        targets: Collection<FleetTarget>,
        nowMs: Long,
        startedAtMs: (FleetTarget) -> Long
    ) {
        val isFirst = !areTargetsKnown && targets.isNotEmpty()
        areTargetsKnown = areTargetsKnown || isFirst
        val byVersion = targets.groupBy { HeldVersion(it.service, it.version) }
        seenAtMs.keys.retainAll(byVersion.keys)
        cleared.retainAll(byVersion.keys)
        byVersion.keys.forEach { seenAtMs.putIfAbsent(it, nowMs) }
        if (isFirst && areOrdersKnown) cleared += byVersion.keys
        byVersion.entries.groupBy { it.key.service }.values.forEach { versions ->
            if (versions.none { it.key in cleared }) {
                cleared += versions.minBy { (_, found) -> found.minOf(startedAtMs) }.key
            }
        }
    }

    /** Records that all orders were read at [nowMs]. */
    public fun onOrdersRead(nowMs: Long) {
        val isFirst = !areOrdersKnown
        areOrdersKnown = true
        cleared += seenAtMs.filterValues { isFirst || nowMs - it >= READ_DELAY_MS }.keys
    }

    private companion object {
        /** A response that was on its way when the targets appeared may lack the order. */
        const val READ_DELAY_MS = 1_000L
    }
}
