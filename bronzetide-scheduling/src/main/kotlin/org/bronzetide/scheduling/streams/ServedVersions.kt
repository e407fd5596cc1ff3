package org.bronzetide.scheduling.streams

import org.bronzetide.scheduling.fleet.FleetTarget
import org.bronzetide.scheduling.fleet.SoftwareVersion
import org.bronzetide.scheduling.fleet.software

/**
 * The versions of which each service had targets within the last [windowMs] milliseconds, as far as
 * this host knows. A stream or a request that takes it up lasts no longer than that.
 *
 * Versions are known from the targets that the host observes, and from the store or other hosts.
 * Times are in milliseconds on the host's clock. Not thread-safe.
 */
public class ServedVersions(public var windowMs: Long = MAX_WINDOW_MS) {
    /** When each version was last known to have targets, by service. */
    private val seenAtMs = HashMap<String, HashMap<SoftwareVersion, Long>>()
    private var present: Map<String, Set<SoftwareVersion>> = emptyMap()
    private var firstTargetsAtMs: Long? = null

    /** The services whose versions before this host's start are known. */
    private val settled = HashSet<String>()
    private var areAllSettled = false

    /** The services that are known to have had targets, some of them long ago. */
    public val services: Set<String> get() = seenAtMs.keys

    /** Replaces the targets. The versions of those that leave count for another window. */
    public fun updateTargets(targets: List<FleetTarget>, nowMs: Long) {
        if (firstTargetsAtMs == null && targets.isNotEmpty()) firstTargetsAtMs = nowMs
        val before = present
        present = targets.groupBy({ it.service }, { it.software }).mapValues { it.value.toSet() }
        before.forEach { (service, versions) -> add(service, versions, nowMs) }
        present.forEach { (service, versions) -> add(service, versions, nowMs) }
        seenAtMs.values.forEach { seen -> seen.values.removeIf { it <= nowMs - MAX_WINDOW_MS } }
        seenAtMs.values.removeIf { it.isEmpty() }
    }

    /** Records that [service] had targets of [versions] at [seenAtMs]. */
    public fun add(service: String, versions: Set<SoftwareVersion>, seenAtMs: Long) {
        val seen = this.seenAtMs.getOrPut(service) { HashMap() }
        versions.forEach { seen.merge(it, seenAtMs, ::maxOf) }
    }

    /** Returns the versions of which [service] had targets within the window. */
    public fun of(service: String, nowMs: Long): Set<SoftwareVersion> = agesMs(service, nowMs).keys

    /** Returns how long ago each version of [service] within the window last had targets. */
    public fun agesMs(service: String, nowMs: Long): Map<SoftwareVersion, Long> {
        val current = present[service].orEmpty()
        return seenAtMs[service].orEmpty()
            .mapValues { (version, seen) -> if (version in current) 0 else nowMs - seen }
            .filterValues { it < windowMs }
    }

    /** Whether [service] had targets of several versions within the window. */
    public fun isMixed(service: String, nowMs: Long): Boolean {
        val current = present[service].orEmpty()
        if (current.size > 1) return true
        val seen = seenAtMs[service] ?: return false
        return seen.size > 1 &&
            seen.count { (version, seenMs) -> version in current || nowMs - seenMs < windowMs } > 1
    }

    /**
     * Whether this host knows all versions that [service] had within the window: it has observed
     * the targets since before the window, or has read what they were then.
     */
    public fun isSettled(service: String, nowMs: Long): Boolean {
        val observedSinceMs = firstTargetsAtMs ?: return false
        val isHistoryKnown = areAllSettled || service in settled
        return (isHistoryKnown || nowMs - observedSinceMs >= windowMs) &&
            of(service, nowMs).isNotEmpty()
    }

    /** Records that the versions of [service] before this host's start have been added. */
    public fun settle(service: String) {
        settled += service
    }

    /** Records that no service had any versions, as the system starts for the first time. */
    public fun settle() {
        areAllSettled = true
    }

    public companion object {
        /** Versions that were last seen longer ago are dropped, however long the window is. */
        public const val MAX_WINDOW_MS: Long = 120_000
    }
}
