package org.bronzetide.node.documents

import org.bronzetide.coordination.Document
import org.bronzetide.coordination.DocumentDelta
import org.bronzetide.coordination.DocumentReplica
import org.bronzetide.coordination.Member
import org.bronzetide.coordination.NodeId
import org.bronzetide.coordination.RendezvousHash
import org.bronzetide.node.peer.PeerMessage

/** The documents that every node replicates. Messages identify them by their ordinal. */
internal enum class SharedDocument { CONFIG, HOSTS, OWNERSHIP }

/**
 * Replicates the shared documents between nodes.
 *
 * A change is pushed down a tree of the members of each zone. A node that missed a push detects it
 * by the versions that probes carry, and pulls the change. Confined to the control thread, except
 * [current].
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

    /** The versions of this node's replicas, in the order of [SharedDocument]. */
    fun versions(): List<Long> = replicas.map { it.current.version }

    /** This node's replica of [kind]; may be called on any thread. */
    fun current(kind: SharedDocument): Document = replicas[kind.ordinal].current

    /** Applies [document] if it is newer than the replica, and pushes the changes to peers. */
    fun publish(kind: SharedDocument, document: Document) {
        val delta = replicas[kind.ordinal].offer(document) ?: return
        push(kind.ordinal, delta, isOrigin = true)
    }

    fun onUpdate(from: NodeId, message: PeerMessage.DocumentUpdate) {
        val replica = replicas.getOrNull(message.documentIndex) ?: return
        when (val result = replica.offer(message.delta)) {
            is DocumentReplica.Result.Applied ->
                push(message.documentIndex, result.delta, isOrigin = false)

            is DocumentReplica.Result.Gap -> pull(from, message.documentIndex)
            is DocumentReplica.Result.Stale -> Unit
        }
    }

    fun onPull(from: NodeId, message: PeerMessage.DocumentPull) {
        val delta =
            replicas.getOrNull(message.documentIndex)?.deltaSince(message.heldVersion) ?: return
        send(from, PeerMessage.DocumentUpdate(message.documentIndex, delta))
    }

    /** Pulls from [from] the changes of every document of which it has a newer version. */
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
