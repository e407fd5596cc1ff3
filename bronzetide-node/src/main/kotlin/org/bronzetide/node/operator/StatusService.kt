package org.bronzetide.node.operator

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.Member
import org.bronzetide.coordination.MemberState
import org.bronzetide.coordination.NodeId
import org.bronzetide.model.JsonFormats
import org.bronzetide.node.peer.PeerMessage

/** Gathers the status of all nodes. */
internal class StatusService(
    private val self: NodeId,
    private val control: ControlLoop,
    private val members: () -> List<Member>,
    private val ownStatus: () -> NodeStatus,
    private val send: (NodeId, PeerMessage) -> Unit
) {
    private val calls = HashMap<Long, CompletableDeferred<NodeStatus>>()
    private var nextCall = 1L

    /** The status of every node that answers within [ANSWER_TIMEOUT_MS]. */
    suspend fun cluster(): ClusterStatus {
        val asked = control.call { ask() }
        withTimeoutOrNull(ANSWER_TIMEOUT_MS) {
            asked.forEach { (_, _, answer) -> answer.await() }
        }
        val late = asked.filter { (_, node, answer) -> node != self && !answer.isCompleted }
        control.post { asked.forEach { (call, _, _) -> calls.remove(call) } }
        val all = asked.filter { it.third.isCompleted }.map { it.third.await() }
        return ClusterStatus(all.sortedBy { it.node }, late.map { it.second.value })
    }

    fun onRequest(from: NodeId, message: PeerMessage.StatusRequest) {
        val json = JsonFormats.wire.encodeToString(NodeStatus.serializer(), ownStatus())
        send(from, PeerMessage.StatusResponse(message.callId, json))
    }

    fun onResponse(message: PeerMessage.StatusResponse) {
        val status = JsonFormats.wire.decodeFromString(NodeStatus.serializer(), message.json)
        calls.remove(message.callId)?.complete(status)
    }

    private fun ask(): List<Triple<Long, NodeId, CompletableDeferred<NodeStatus>>> =
        members().filter { it.state != MemberState.DEAD }.map { member ->
            val answer = CompletableDeferred<NodeStatus>()
            val call = nextCall++
            calls[call] = answer
            send(member.id, PeerMessage.StatusRequest(call))
            Triple(call, member.id, answer)
        }

    private companion object {
        const val ANSWER_TIMEOUT_MS = 800L
    }
}
