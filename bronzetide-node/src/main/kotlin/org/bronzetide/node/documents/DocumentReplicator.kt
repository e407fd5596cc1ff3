package org.bronzetide.node.documents

import org.bronzetide.coordination.Document
import org.bronzetide.coordination.DocumentDelta
import org.bronzetide.coordination.DocumentReplica
import org.bronzetide.coordination.Member
import org.bronzetide.coordination.NodeId
import org.bronzetide.coordination.RendezvousHash
import org.bronzetide.node.peer.PeerMessage

/** The documents that every node replicates, in the order of their index in messages. */
internal enum class SharedDocument { CONFIG, HOSTS, OWNERSHIP }

/**
 * Spreads the shared documents through peers: a change is pushed down a tree over the members of
 * the zone, and what a push missed is found by the versions that probes carry and pulled.
 *
 * State lives on the control thread.
 */
internal class DocumentReplicator(
    private val self: NodeId,
    private val zone: String,
    private val members: () -> List<Member>,
    private val send: (NodeId, PeerMessage) -> Unit,
    private val onChange: (SharedDocument, Document) -> Unit
) {
    private val replicas = SharedDocument.entries.map { kind ->
        DocumentReplica { onChange(kind, it) }
    }

    /** The versions held, in the order of [SharedDocument]. */
    fun versions(): List<Long> = replicas.map { it.current.version }

    /** The newest version held of [kind]; any thread may ask. */
    fun current(kind: SharedDocument): Document = replicas[kind.ordinal].current

    /** Takes a document read from the platform and pushes what changed. */
    fun publish(kind: SharedDocument, document: Document) {
        val delta = replicas[kind.ordinal].offer(document) ?: return
        push(kind.ordinal, delta, isOrigin = true)
    }

    fun onUpdate(from: NodeId, message: PeerMessage.DocumentUpdate) {
        val replica = replicas.getOrNull(message.documentIndex) ?: return
        when (val result = replica.offer(message.delta)) {
            is DocumentReplica.Result.Applied -> push(
                message.documentIndex,
                result.delta,
                isOrigin = false
            )
            is DocumentReplica.Result.Gap -> pull(from, message.documentIndex)
            is DocumentReplica.Result.Stale -> Unit
        }
    }

    fun onPull(from: NodeId, message: PeerMessage.DocumentPull) {
        val delta =
            replicas.getOrNull(message.documentIndex)?.deltaSince(message.heldVersion) ?: return
        send(from, PeerMessage.DocumentUpdate(message.documentIndex, delta))
    }

    /** Pulls from [from] whatever it has newer. */
    fun onVersions(from: NodeId, versions: List<Long>) {
        versions.forEachIndexed { index, version ->
            val ownVersion = replicas.getOrNull(index)?.current?.version ?: return
            if (version > ownVersion) pull(from, index)
        }
    }

    private fun pull(from: NodeId, index: Int) =
        send(from, PeerMessage.DocumentPull(index, replicas[index].current.version))

    private fun push(index: Int, delta: DocumentDelta, isOrigin: Boolean) {
        val inZone = members().filter { it.zone == zone }.map { it.id }
        val ranking = RendezvousHash.rank("spread-$index", inZone)
        val children = if (isOrigin) ranking.take(FAN_OUT) else childrenOf(ranking)
        val remoteRoots = if (isOrigin) oneInEachOtherZone(index) else emptyList()
        val update = PeerMessage.DocumentUpdate(index, delta)
        (children + remoteRoots).filter { it != self }.distinct().forEach { send(it, update) }
    }

    private fun childrenOf(ranking: List<NodeId>): List<NodeId> {
        val position = ranking.indexOf(self)
        if (position < 0) return emptyList()
        val otherRoots = if (position == 0) ranking.drop(1).take(FAN_OUT - 1) else emptyList()
        return otherRoots +
            (0 until FAN_OUT).mapNotNull { ranking.getOrNull((position + 1) * FAN_OUT + it) }
    }

    private fun oneInEachOtherZone(index: Int): List<NodeId> = members()
        .filter { it.zone != zone }
        .groupBy { it.zone }
        .mapNotNull { (_, found) -> RendezvousHash.pick("spread-$index", found.map { it.id }) }

    private companion object {
        const val FAN_OUT = 3
    }
}
