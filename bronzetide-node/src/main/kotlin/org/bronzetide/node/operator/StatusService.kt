package org.bronzetide.node.operator

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.Member
import org.bronzetide.coordination.MemberState
import org.bronzetide.coordination.NodeId
import org.bronzetide.model.JsonFormats
import org.bronzetide.node.peer.PeerMessage

/** Collects the status of all nodes of the cluster. */
internal class StatusService(
    private val self: NodeId,
    private val control: ControlLoop,
    private val members: () -> List<Member>,
    private val ownStatus: () -> NodeStatus,
    private val send: (NodeId, PeerMessage) -> Unit
) {
    private val pendingRequests = HashMap<Long, CompletableDeferred<NodeStatus>>()
    private var nextCallId = 1L

    /** Returns the status of every node that responds within [RESPONSE_TIMEOUT_MS] milliseconds. */
    suspend fun cluster(): ClusterStatus {
        val requests = control.call { sendRequests() }
        withTimeoutOrNull(RESPONSE_TIMEOUT_MS) {
            requests.forEach { (_, _, response) -> response.await() }
        }
        val unresponsive = requests.filter { (_, node, response) ->
            node != self && !response.isCompleted
        }
        control.post { requests.forEach { (callId, _, _) -> pendingRequests.remove(callId) } }
        val responses = requests.filter { it.third.isCompleted }.map { it.third.await() }
        return ClusterStatus(responses.sortedBy { it.node }, unresponsive.map { it.second.value })
    }

    fun onRequest(from: NodeId, message: PeerMessage.StatusRequest) {
        val json = JsonFormats.wire.encodeToString(NodeStatus.serializer(), ownStatus())
        send(from, PeerMessage.StatusResponse(message.callId, json))
    }

    fun onResponse(message: PeerMessage.StatusResponse) {
        val status = JsonFormats.wire.decodeFromString(NodeStatus.serializer(), message.json)
        pendingRequests.remove(message.callId)?.complete(status)
    }

    private fun sendRequests(): List<Triple<Long, NodeId, CompletableDeferred<NodeStatus>>> =
        members().filter { it.state != MemberState.DEAD }.map { member ->
            val response = CompletableDeferred<NodeStatus>()
            val callId = nextCallId++
            pendingRequests[callId] = response
            send(member.id, PeerMessage.StatusRequest(callId))
            Triple(callId, member.id, response)
        }

    private companion object {
        const val RESPONSE_TIMEOUT_MS = 800L
    }
}
