package org.bronzetide.edge.relay

import kotlin.random.Random
import org.bronzetide.coordination.Member
import org.bronzetide.coordination.MemberState
import org.bronzetide.coordination.NodeId
import org.bronzetide.scheduling.fleet.TargetRef

/**
 * Chooses the hosts that requests are relayed by.
 *
 * Bytes between availability zones cost, so the hosts of this one come first. Of two random hosts,
 * the one with fewer requests of this host in progress is taken. A host that has lost its targets
 * too, takes no requests, or broke off is left alone for a while, longer each time.
 *
 * Times are in milliseconds on the process's monotonic clock. Thread-safe.
 */
internal class RelayPeers(
    private val availabilityZone: String,
    private val random: Random = Random.Default
) {
    /** A live host that can relay. */
    data class Peer(val id: NodeId, val availabilityZone: String, val ip: String)

    private class Record {
        var inProgress = 0
        var absentUntilMs = Long.MIN_VALUE
        var failures = 0

        /** The target of the latest send that was abandoned, unless the host answered since. */
        var abandonedTarget: TargetRef? = null
    }

    private val records = HashMap<NodeId, Record>()

    @Volatile
    private var peers: List<Peer> = emptyList()

    /** Whether there is another host at all. */
    val isEmpty: Boolean get() = peers.isEmpty()

    /** Whether [peer] is in the availability zone of this host. */
    fun isNear(peer: Peer): Boolean = peer.availabilityZone == availabilityZone

    /** Replaces the known hosts by those of [members] that are alive, without [self]. */
    @Synchronized
    fun update(self: NodeId, members: List<Member>) {
        peers = members.filter { it.id != self && it.state == MemberState.ALIVE }
            .map { Peer(it.id, it.zone, it.host) }
        records.keys.retainAll(peers.mapTo(HashSet()) { it.id })
    }

    /**
     * Returns the host to ask next, or `null` if there is none. Those in [tried] are left out, and
     * a host of an availability zone in [triedZones] comes after all others.
     */
    @Synchronized
    fun choose(tried: Set<NodeId>, triedZones: Set<String>, nowMs: Long): Peer? {
        val usable = peers.filter {
            it.id !in tried && (records[it.id]?.absentUntilMs ?: Long.MIN_VALUE) <= nowMs
        }
        val untriedZones = usable.filter { it.availabilityZone !in triedZones }.ifEmpty { usable }
        val near = untriedZones.filter(::isNear).ifEmpty { untriedZones }
        if (near.isEmpty()) return null
        return minOf(near.random(random), near.random(random), compareBy { inProgress(it) })
    }

    /** A request is handed to [peer]; [onEnd] must follow. */
    @Synchronized
    fun onBegin(peer: Peer) {
        recordOf(peer).inProgress++
    }

    /** A request that was handed to [peer] has ended. */
    @Synchronized
    fun onEnd(peer: Peer) {
        records[peer.id]?.let { it.inProgress = maxOf(0, it.inProgress - 1) }
    }

    /** [peer] has answered a request, whatever became of it. */
    @Synchronized
    fun onAnswered(peer: Peer) {
        records[peer.id]?.abandonedTarget = null
    }

    /**
     * A send to [target] was abandoned before [peer] had answered. Returns whether [peer] is likely
     * to blame, as it has answered nothing since a send before was abandoned. If that one was to
     * another target, [peer] is left alone for a while.
     */
    @Synchronized
    fun onAbandoned(peer: Peer, target: TargetRef, nowMs: Long): Boolean {
        val record = recordOf(peer)
        val previous = record.abandonedTarget
        record.abandonedTarget = target
        if (previous == null) return false
        if (previous != target) onUnavailable(peer, nowMs)
        return true
    }

    /** [peer] has reached a target. */
    @Synchronized
    fun onReached(peer: Peer) {
        records[peer.id]?.failures = 0
    }

    /** [peer] has lost targets too, takes no requests, or broke off. */
    @Synchronized
    fun onUnavailable(peer: Peer, nowMs: Long) {
        val record = recordOf(peer)
        if (record.absentUntilMs > nowMs) return
        val absenceMs = FIRST_ABSENCE_MS shl record.failures.coerceAtMost(MAX_DOUBLINGS)
        record.absentUntilMs = nowMs + absenceMs
        record.failures++
    }

    private fun inProgress(peer: Peer) = records[peer.id]?.inProgress ?: 0

    private fun recordOf(peer: Peer) = records.getOrPut(peer.id, ::Record)

    private companion object {
        /** How long a host is left alone at first, in milliseconds. */
        const val FIRST_ABSENCE_MS = 1_000L

        /** The longest absence is four times the first. */
        const val MAX_DOUBLINGS = 2
    }
}
