package org.bronzetide.edge.streams

import org.bronzetide.coordination.Member
import org.bronzetide.coordination.MemberState
import org.bronzetide.coordination.NodeId
import org.bronzetide.coordination.RendezvousHash
import org.bronzetide.scheduling.streams.StreamId

/**
 * The order in which the other hosts keep the origin of a stream: rendezvous hashing of the
 * stream's slot over the names of the hosts that are not known to be dead. A host that restarts
 * keeps its place.
 *
 * The order of a slot is computed once for each set of hosts. Confined to the control thread.
 */
internal class StreamKeepers(private val selfName: String) {
    private var hosts: Map<String, KeeperHost> = emptyMap()
    private val ranked = HashMap<Int, List<String>>()

    /** The processes that have been seen, dead ones included while they are members. */
    private var known: Set<NodeId> = emptySet()

    /** When the hosts that are dead were last known not to be, in milliseconds. */
    private val lostAtMs = HashMap<String, Long>()

    /** The number of other hosts that were live within [LOST_MS] and are dead. */
    val lostCount: Int get() = lostAtMs.size

    /** When a process of another host was last found to be dead or replaced. */
    var lastLossAtMs: Long? = null
        private set

    /** Whether other hosts are known that are not dead. */
    val hasHosts: Boolean get() = hosts.isNotEmpty()

    /** The other hosts that are not known to be dead. */
    val all: Collection<KeeperHost> get() = hosts.values

    /** Replaces the members at [nowMs]. */
    fun update(members: Collection<Member>, nowMs: Long) {
        val before = hosts
        val updated = HashMap<String, KeeperHost>()
        members.filter { it.id.hostName != selfName && it.state != MemberState.DEAD }
            .groupBy { it.id.hostName }
            .forEach { (name, processes) ->
                val started = processes.filter { it.id !in known }
                val last = before[name]
                updated[name] = when {
                    last == null -> KeeperHost(name, processes.first().host, 0)
                    started.isEmpty() -> last
                    else -> KeeperHost(name, started.first().host, last.generation + 1)
                }
            }
        known = members.mapTo(HashSet()) { it.id }
        hosts = updated
        (before.keys - updated.keys).forEach { lostAtMs[it] = nowMs }
        val isLoss = before.any { (name, host) -> updated[name]?.generation != host.generation }
        if (isLoss) lastLossAtMs = nowMs
        lostAtMs.keys.removeAll(updated.keys)
        if (updated.keys != before.keys) ranked.clear()
    }

    /** Forgets the hosts that have been dead for long. */
    fun expire(nowMs: Long) {
        lostAtMs.values.removeIf { nowMs - it >= LOST_MS }
    }

    /** The hosts that keep the streams of [slot]. */
    fun of(slot: Int): List<KeeperHost> = inOrder(slot).take(KEEPERS)

    /**
     * The hosts to ask for a stream of [slot]. Hosts that have another one of the keepers in place
     * of this host or of one that is dead are among them.
     */
    fun toAsk(slot: Int): List<KeeperHost> = inOrder(slot)

    /** Returns the host [name], or `null` if it is not known or dead. */
    fun find(name: String): KeeperHost? = hosts[name]

    private fun inOrder(slot: Int): List<KeeperHost> = ranked.getOrPut(slot) {
        RendezvousHash.top("stream-$slot", hosts.keys, ASKED)
    }.mapNotNull { hosts[it] }

    /** A host at its address. The generation increases when its process restarts. */
    data class KeeperHost(val name: String, val ip: String, val generation: Int)

    companion object {
        /** A stream is known as long as one of two hosts lives, or the one that began it. */
        private const val KEEPERS = 2

        /**
         * More than the keepers: on small fleets the host that began the stream is among them,
         * which has told no keeper of it if its service had one version.
         */
        private const val ASKED = 8
        private const val SLOTS = 256

        /** Much longer than hosts are cut off from each other. */
        private const val LOST_MS = 3_600_000L

        /** The slot of the stream [id]. */
        fun slotOf(id: StreamId): Int = Math.floorMod(id.value, SLOTS)
    }
}
