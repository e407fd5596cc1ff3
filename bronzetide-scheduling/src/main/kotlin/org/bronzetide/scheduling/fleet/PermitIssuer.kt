package org.bronzetide.scheduling.fleet

import kotlin.random.Random

/** A target that takes [perSecond] requests a second from all hosts together. */
public data class LimitedTarget(val ref: TargetRef, val service: String, val perSecond: Double)

/** Requests of a host for one service: those [waiting], and more that are [expected] soon. */
public data class SendDemand(val waiting: Int, val expected: Int)

/**
 * Hands out the permits to send to targets that have a limit, on the one host that the others
 * report to. Permits of a target become available at its limit; those that no host asks for add up
 * to at most what it takes in [BURST_INTERVALS] intervals between reports, and one.
 *
 * While some of the hosts report elsewhere, an issuer hands out only the share of the hosts that
 * report to it, and begins each series at a random moment: others may do the same at that time, and
 * none of them hears of the others' permits. Single-threaded.
 */
public class PermitIssuer(private val random: Random) {
    private val hosts = HashMap<String, Host>()
    private val buckets = HashMap<TargetRef, Bucket>()

    /** Records the demands of [host] by service, which replace the previous ones. */
    public fun onReport(host: String, demands: Map<String, SendDemand>, nowMs: Long) {
        val known = hosts.getOrPut(host) { Host() }
        known.reportedAtMs = nowMs
        known.remaining.clear()
        demands.forEach { (service, demand) ->
            known.remaining[service] = Remaining(demand.waiting, demand.expected)
        }
    }

    /** Drops the hosts that have not reported since [sinceMs] and returns how many are left. */
    public fun retainReported(sinceMs: Long): Int {
        hosts.values.removeIf { it.reportedAtMs < sinceMs }
        return hosts.size
    }

    /**
     * Assigns the permits of [targets] that are available at [nowMs] to the hosts that ask for
     * them. Of all hosts, the [share] from 0 to 1 reports here, every [intervalMs] milliseconds.
     */
    public fun issue(targets: List<LimitedTarget>, share: Double, intervalMs: Long, nowMs: Long) {
        buckets.keys.retainAll(targets.mapTo(HashSet()) { it.ref })
        targets.forEach { target ->
            val perSecond = target.perSecond.coerceAtLeast(MIN_PER_S) * share
            val burst = 1 + BURST_INTERVALS * perSecond * intervalMs / MS_PER_S
            val bucket = buckets.getOrPut(target.ref) { Bucket(random.nextDouble(), nowMs) }
            bucket.refill(perSecond, burst, nowMs)
            val isWanted = hosts.values.any { it.asksFor(target.service) }
            if (isWanted && !bucket.isWanted && share < 1) {
                bucket.level = minOf(bucket.level, random.nextDouble())
            }
            bucket.isWanted = isWanted
            while (bucket.level >= 1 && assign(target, bucket)) bucket.level--
        }
    }

    /** Takes the permits assigned to [host] since the last call, by target. */
    public fun takePermits(host: String): Map<TargetRef, Int> {
        val assigned = hosts[host]?.assigned ?: return emptyMap()
        return HashMap(assigned).also { assigned.clear() }
    }

    /** Assigns a permit to the host that waits for one of this target longest, if any asks. */
    private fun assign(target: LimitedTarget, bucket: Bucket): Boolean {
        val (name, host) = hosts.entries.filter { it.value.asksFor(target.service) }.minWithOrNull(
            compareBy<Map.Entry<String, Host>> { !it.value.waitsFor(target.service) }
                .thenBy { bucket.lastTurns[it.key] ?: 0L }
                .thenBy { it.key }
        ) ?: return false
        bucket.lastTurns[name] = ++bucket.turn
        bucket.lastTurns.keys.retainAll(hosts.keys)
        host.remaining.getValue(target.service).useOne()
        host.assigned.merge(target.ref, 1, Int::plus)
        return true
    }

    private class Host {
        var reportedAtMs = 0L

        /** What it has asked for, by service, and has not been assigned. */
        val remaining = HashMap<String, Remaining>()

        /** The permits to be sent to it, by target. */
        val assigned = HashMap<TargetRef, Int>()

        fun asksFor(service: String): Boolean = remaining[service]?.isNone == false

        fun waitsFor(service: String): Boolean = (remaining[service]?.waiting ?: 0) > 0
    }

    private class Remaining(var waiting: Int, private var expected: Int) {
        val isNone: Boolean get() = waiting <= 0 && expected <= 0

        fun useOne() {
            if (waiting > 0) waiting-- else expected--
        }
    }

    /** The permits of one target that are available: as many as the whole number in [level]. */
    private class Bucket(var level: Double, private var refilledAtMs: Long) {
        var isWanted = false
        var turn = 0L

        /** The number of the last permit that each host was assigned. */
        val lastTurns = HashMap<String, Long>()

        fun refill(perSecond: Double, burst: Double, nowMs: Long) {
            val added = perSecond * (nowMs - refilledAtMs) / MS_PER_S
            level = minOf(level + added, burst)
            refilledAtMs = nowMs
        }
    }

    private companion object {
        /** Permits are handed out once an interval, and reports of demands may be lost. */
        const val BURST_INTERVALS = 2

        /** A target that gets no requests cannot say that its limit has ended. */
        const val MIN_PER_S = 0.05
        const val MS_PER_S = 1_000.0
    }
}
