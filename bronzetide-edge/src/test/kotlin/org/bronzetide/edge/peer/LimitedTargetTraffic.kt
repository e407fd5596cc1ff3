package org.bronzetide.edge.peer

import org.bronzetide.scheduling.fleet.FleetDecision
import org.bronzetide.scheduling.fleet.FleetOutcome
import org.bronzetide.scheduling.fleet.FleetTicket

/**
 * Requests of the hosts of [network] to its one target, which names a limit in its responses.
 *
 * Each request takes up to [MAX_WAY_MS] milliseconds to the target, and its response as long to
 * return. A host may have [waitingPerHost] requests that wait at any time.
 */
internal class LimitedTargetTraffic(private val network: PeerNetwork) {
    /** The requests a second that the target says it takes, or `null` if it names no limit. */
    var perSecond: Double? = null

    /** Whether a host has requests. */
    var isBusy: (PeerNetwork.Host) -> Boolean = { true }

    var waitingPerHost = 2

    val arrivals = ArrayList<Arrival>()
    private val toldAtMs = HashMap<PeerNetwork.Host, Long>()
    private val pending = ArrayList<Event>()
    private var sequences = 0L

    /** A request that reached the target from a host that heard of its limit [toldForMs] ago. */
    class Arrival(val atMs: Long, val toldForMs: Long?)

    private class Event(val atMs: Long, val run: () -> Unit)

    /** Runs the network for [durationMs] milliseconds while hosts that are busy send. */
    fun run(durationMs: Long) = repeat((durationMs / PeerNetwork.STEP_MS).toInt()) {
        network.run(PeerNetwork.STEP_MS)
        val nowMs = network.clock.nowMs()
        val due = pending.filter { it.atMs <= nowMs }
        pending.removeAll(due.toSet())
        due.forEach { it.run() }
        network.hosts.forEach { host ->
            if (isBusy(host)) {
                while (host.scheduler.waitingCount < waitingPerHost && enroll(host)) Unit
            }
            host.scheduler.decide(nowMs)
        }
    }

    /** Returns whether the request waits. */
    private fun enroll(host: PeerNetwork.Host): Boolean {
        val sequence = ++sequences + FIRST_SEQUENCE
        val nowMs = network.clock.nowMs()
        val startByMs = nowMs + MAX_WAIT_MS
        val ticket = FleetTicket(sequence, "model", 0, 10, 1, startByMs, startByMs)
        var isDecided = false
        host.scheduler.enroll(ticket, nowMs) { decision ->
            isDecided = true
            if (decision is FleetDecision.Send) later { arrive(host, sequence) }
        }
        return !isDecided
    }

    private fun arrive(host: PeerNetwork.Host, sequence: Long) {
        val nowMs = network.clock.nowMs()
        arrivals += Arrival(nowMs, toldAtMs[host]?.let { nowMs - it })
        val named = perSecond
        later {
            val heardAtMs = network.clock.nowMs()
            if (named == null) toldAtMs.remove(host) else toldAtMs.putIfAbsent(host, heardAtMs)
            host.scheduler.onLimit(sequence, named, heardAtMs)
            host.scheduler.onFirstEvent(sequence, heardAtMs)
            host.scheduler.release(sequence, FleetOutcome.ANSWERED, heardAtMs)
        }
    }

    private fun later(run: () -> Unit) {
        val delayMs = network.random.nextLong(MIN_WAY_MS, MAX_WAY_MS)
        pending += Event(network.clock.nowMs() + delayMs, run)
    }

    /** The most requests in any 4 s from hosts that had been told half a second before. */
    fun mostInWindow(): Int {
        val counted = arrivals.filter { (it.toldForMs ?: 0) >= TOLD_MS }.map { it.atMs }.sorted()
        var first = 0
        return counted.indices.maxOfOrNull { last ->
            while (counted[last] - counted[first] >= WINDOW_MS) first++
            last - first + 1
        } ?: 0
    }

    companion object {
        private const val WINDOW_MS = 4_000L
        private const val TOLD_MS = 500L
        private const val MIN_WAY_MS = 10L
        private const val MAX_WAY_MS = 60L
        private const val MAX_WAIT_MS = 2_000L
        private const val FIRST_SEQUENCE = 1_000_000L

        /** One and a half times what [perSecond] allows in 4 s, and five requests. */
        fun allowed(perSecond: Double): Int = (1.5 * 4 * perSecond + 5).toInt()
    }
}
