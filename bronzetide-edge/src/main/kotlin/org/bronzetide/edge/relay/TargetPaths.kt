package org.bronzetide.edge.relay

import kotlin.random.Random
import org.bronzetide.scheduling.fleet.TargetRef

/**
 * Decides for each target whether this host sends to it directly or by way of another host.
 *
 * That a target cannot be reached is a fact of this host and the target. A direct connection that
 * fails makes the path doubtful; whether the fault lies between the two is decided by a relay. One
 * that reaches the target confirms it, and the target is relayed until a probe connects. One that
 * fails too shows that the target is in trouble, and for [TROUBLE_MS] no relay is asked again.
 *
 * When two targets were confirmed so within [MOMENT_MS], and none was heard since, this host counts
 * as cut off: all targets that were not heard since are relayed.
 *
 * This is a state machine without I/O or a clock of its own. Times are in milliseconds on the
 * process's monotonic clock. Thread-safe.
 */
internal class TargetPaths(
    private val random: Random = Random.Default,
    private val onChange: (Change) -> Unit = {}
) {
    /** How a request is to be sent to a target. */
    enum class Path {
        /** Directly, and by way of a relay if no connection can be made. */
        DIRECT,

        /** Directly only: relays did not reach the target either. */
        DIRECT_ONLY,

        /** By way of a relay, as the direct path may be lost. */
        DOUBTFUL,

        /** By way of a relay. */
        RELAYED
    }

    /** Why a direct path counts as lost. */
    enum class Evidence {
        /** A connection was refused. */
        REFUSED,

        /** No connection could be made in time. */
        TIMED_OUT
    }

    /** A change of what is known. */
    sealed class Change {
        /** A relay has reached [target], which this host cannot connect to. */
        data class Lost(val target: TargetRef, val evidence: Evidence) : Change()

        /** This host has connected to [target] again. */
        data class Reached(val target: TargetRef, val afterMs: Long) : Change()

        /** This host has lost all targets. */
        data class CutOff(val lostCount: Int) : Change()

        /** This host reaches a target again. */
        data class Reconnected(val afterMs: Long) : Change()
    }

    private class Link {
        var heardAtMs = NEVER

        /** The latest failure to connect, unless a connection was made since. */
        var failedAtMs = NEVER
        var evidence = Evidence.TIMED_OUT

        /** When a relay confirmed that the target runs, unless a connection was made since. */
        var lostAtMs = NEVER
        var troubleUntilMs = NEVER
        var probeAtMs = NEVER

        /** Losses in short succession; each doubles the time between probes. */
        var losses = 0
        var reachedAtMs = NEVER
        var checkedAtMs = NEVER
        var isChecking = false

        val isLost: Boolean get() = lostAtMs != NEVER
        val hasFailed: Boolean get() = failedAtMs != NEVER
    }

    private val links = HashMap<TargetRef, Link>()
    private var heardAtMs = NEVER
    private var cutOffAtMs = NEVER

    /** Whether this host has lost all targets. */
    val isCutOff: Boolean
        @Synchronized get() = cutOffAtMs != NEVER

    /** Whether there are targets to connect to from time to time. */
    val needsProbes: Boolean
        @Synchronized get() = cutOffAtMs != NEVER || links.values.any { it.isLost }

    /** The number of targets known to have no direct path. */
    val lostCount: Int
        @Synchronized get() = links.values.count { it.isLost }

    /** Returns the path to [target] for a send at [nowMs]. */
    @Synchronized
    fun pathTo(target: TargetRef, nowMs: Long): Path {
        val link = links[target]
        return when {
            link != null && link.isLost -> Path.RELAYED
            link != null && link.troubleUntilMs > nowMs -> Path.DIRECT_ONLY
            cutOffAtMs != NEVER -> Path.RELAYED
            link != null && link.hasFailed && nowMs - link.failedAtMs < DOUBT_MS -> Path.DOUBTFUL
            else -> Path.DIRECT
        }
    }

    /** Whether the direct path to [target] is lost, or may have been lost with others. */
    @Synchronized
    fun isInDoubt(target: TargetRef, nowMs: Long): Boolean {
        if (cutOffAtMs != NEVER || links[target]?.isLost == true) return true
        val failed = links.values.count {
            it.failedAtMs > heardAtMs && nowMs - it.failedAtMs < MOMENT_MS
        }
        return failed >= MIN_LOST_TARGETS
    }

    /** Whether any target was heard directly at or after [sinceMs]. */
    @Synchronized
    fun hasHeardSince(sinceMs: Long): Boolean = heardAtMs >= sinceMs

    /** Whether a direct connection to [target] failed less than [withinMs] ms before [nowMs]. */
    @Synchronized
    fun hasJustFailed(target: TargetRef, withinMs: Long, nowMs: Long): Boolean =
        links[target]?.let { it.hasFailed && nowMs - it.failedAtMs < withinMs } ?: false

    /** Bytes of [target] have arrived on a direct connection, which may be an old one. */
    @Synchronized
    fun onHeard(target: TargetRef, nowMs: Long) {
        linkTo(target).heardAtMs = nowMs
        heardAtMs = nowMs
        endCut(nowMs)
    }

    /** A direct connection to [target] was made. */
    @Synchronized
    fun onConnected(target: TargetRef, nowMs: Long) {
        val link = linkTo(target)
        link.heardAtMs = nowMs
        link.failedAtMs = NEVER
        link.troubleUntilMs = NEVER
        if (link.isLost) {
            val afterMs = nowMs - link.lostAtMs
            link.lostAtMs = NEVER
            link.reachedAtMs = nowMs
            onChange(Change.Reached(target, afterMs))
        }
        heardAtMs = nowMs
        endCut(nowMs)
    }

    /** No direct connection to [target] could be made. */
    @Synchronized
    fun onConnectFailed(target: TargetRef, evidence: Evidence, nowMs: Long) {
        val link = linkTo(target)
        link.failedAtMs = nowMs
        link.evidence = evidence
        if (link.isLost) link.probeAtMs = nowMs + probeDelayMs(link)
    }

    /** A relay has got a response of [target]. */
    @Synchronized
    fun onRelayReached(target: TargetRef, nowMs: Long) {
        val link = linkTo(target)
        link.troubleUntilMs = NEVER
        // Without a failure of its own, the target was relayed because of the others.
        if (link.isLost || nowMs - link.failedAtMs >= MOMENT_MS) return
        link.lostAtMs = nowMs
        val isRecurring = nowMs - link.reachedAtMs < RECURRENCE_MS
        link.losses = if (isRecurring) link.losses + 1 else 0
        link.probeAtMs = nowMs + probeDelayMs(link)
        onChange(Change.Lost(target, link.evidence))
        val lost = links.values.count {
            it.isLost && it.failedAtMs > heardAtMs && nowMs - it.lostAtMs < MOMENT_MS
        }
        if (cutOffAtMs == NEVER && lost >= MIN_LOST_TARGETS) {
            cutOffAtMs = nowMs
            onChange(Change.CutOff(lost))
        }
    }

    /** The relays that were asked could not connect to [target] either. */
    @Synchronized
    fun onRelaysFailed(target: TargetRef, nowMs: Long) {
        val link = linkTo(target)
        link.lostAtMs = NEVER
        link.troubleUntilMs = nowMs + TROUBLE_MS
    }

    /**
     * Whether to check now by a new connection whether [target] can be reached, as nothing was
     * heard of it since [silentSinceMs]. If so, [onCheckEnd] must follow.
     */
    @Synchronized
    fun tryBeginCheck(target: TargetRef, silentSinceMs: Long, nowMs: Long): Boolean {
        val link = linkTo(target)
        if (link.heardAtMs >= silentSinceMs || link.isLost || link.isChecking) return false
        if (nowMs - link.checkedAtMs < MIN_CHECK_INTERVAL_MS) return false
        link.isChecking = true
        link.checkedAtMs = nowMs
        return true
    }

    /** The check that [tryBeginCheck] has allowed is over. */
    @Synchronized
    fun onCheckEnd(target: TargetRef) {
        linkTo(target).isChecking = false
    }

    /**
     * Returns the targets to connect to now. Each gets its next probe after a delay, so that the
     * caller needs not report failures in order.
     */
    @Synchronized
    fun takeDueProbes(nowMs: Long): List<TargetRef> {
        val atOnce = if (cutOffAtMs != NEVER) PROBES_WHILE_CUT_OFF else PROBES_AT_ONCE
        val due = links.entries
            .filter { (it.value.isLost || cutOffAtMs != NEVER) && it.value.probeAtMs <= nowMs }
            .shuffled(random).sortedBy { it.value.probeAtMs }.take(atOnce)
        due.forEach { it.value.probeAtMs = nowMs + probeDelayMs(it.value) }
        return due.map { it.key }
    }

    /** Forgets the targets that are not among [known]. */
    @Synchronized
    fun retain(known: Set<TargetRef>) {
        links.keys.retainAll(known)
        // No probe would end the cut.
        if (links.isEmpty()) cutOffAtMs = NEVER
    }

    private fun endCut(nowMs: Long) {
        if (cutOffAtMs == NEVER) return
        val afterMs = nowMs - cutOffAtMs
        cutOffAtMs = NEVER
        links.values.filter { it.isLost && it.losses == 0 }.forEach { it.probeAtMs = nowMs }
        onChange(Change.Reconnected(afterMs))
    }

    private fun linkTo(target: TargetRef) = links.getOrPut(target, ::Link)

    private fun probeDelayMs(link: Link): Long {
        val delayMs = PROBE_INTERVAL_MS shl link.losses.coerceAtMost(MAX_DOUBLINGS)
        return (delayMs * random.nextDouble(1 - PROBE_JITTER, 1 + PROBE_JITTER)).toLong()
    }

    internal companion object {
        private const val NEVER = Long.MIN_VALUE / 4

        /** The fewest targets that must be lost for this host to count as cut off. */
        private const val MIN_LOST_TARGETS = 2

        /** The time within which several losses count as one event, in milliseconds. */
        const val MOMENT_MS = 2_000L

        /** How long a failure to connect makes a path doubtful, in milliseconds. */
        const val DOUBT_MS = 1_000L

        /** How long no relay is asked for a target that relays did not reach, in milliseconds. */
        const val TROUBLE_MS = 1_000L

        /** The shortest time between two checks of one target, in milliseconds. */
        const val MIN_CHECK_INTERVAL_MS = 1_000L

        /** The average time between two probes of a target, in milliseconds. */
        const val PROBE_INTERVAL_MS = 600L
        private const val PROBE_JITTER = 0.3

        /** The longest average time between probes is twice the first. */
        private const val MAX_DOUBLINGS = 1

        /** A path that is lost again within this time, in milliseconds, is probed less often. */
        const val RECURRENCE_MS = 5_000L
        private const val PROBES_AT_ONCE = 8
        private const val PROBES_WHILE_CUT_OFF = 1
    }
}
