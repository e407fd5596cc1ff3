package org.bronzetide.edge.streams

import kotlin.random.Random
import org.bronzetide.coordination.TimerService
import org.bronzetide.edge.peer.PeerMessage
import org.bronzetide.scheduling.fleet.SoftwareVersion
import org.bronzetide.scheduling.streams.StreamId
import org.bronzetide.scheduling.streams.StreamOrigin

/**
 * Asks other hosts for the origins of streams. A query ends when one of them names the origin, all
 * have replied, or [TIMEOUT_MS] have passed. Confined to the control thread.
 */
internal class StreamQueries(
    private val timers: TimerService,
    private val send: (ip: String, PeerMessage) -> Unit,
    random: Random
) {
    private val queries = HashMap<Long, Query>()

    /** Replies to a process that ran here before must not be taken for those to this one. */
    private var nextId = random.nextLong()

    /** Asks the hosts at [ips] and passes what they replied to [onAnswer]. */
    fun ask(id: StreamId, services: List<String>, ips: List<String>, onAnswer: (Answer) -> Unit) {
        if (ips.isEmpty() || queries.size >= MAX_QUERIES) {
            return onAnswer(Answer(null, emptyList(), ips.size))
        }
        val message = PeerMessage.StreamQuery(nextId++, id.value, services)
        val query = Query(message, ips, onAnswer)
        queries[message.query] = query
        query.timeouts = listOf(
            timers.after(REPEAT_AFTER_MS) {
                query.waitingFor.toList().forEach { send(it, message) }
            },
            timers.after(TIMEOUT_MS) { finish(query, null) }
        )
        ips.forEach { send(it, message) }
    }

    /** Handles a reply of the host at [senderIp]. */
    fun onReply(reply: PeerMessage.StreamReply, senderIp: String) {
        val query = queries[reply.query] ?: return
        if (!query.waitingFor.remove(senderIp)) return
        query.replies += reply
        val (service, version) = reply.service to reply.version
        when {
            service != null && version != null ->
                finish(query, StreamOrigin(service, SoftwareVersion(version)))

            query.waitingFor.isEmpty() -> finish(query, null)
        }
    }

    private fun finish(query: Query, origin: StreamOrigin?) {
        queries.remove(query.message.query)
        query.timeouts.forEach { it.cancel() }
        query.onAnswer(Answer(origin, query.replies, query.askedCount))
    }

    /** What hosts have replied, of [askedCount] that were asked. */
    class Answer(
        val origin: StreamOrigin?,
        val replies: List<PeerMessage.StreamReply>,
        val askedCount: Int
    ) {
        /** Whether a host was asked and did not reply. */
        val isIncomplete: Boolean get() = replies.size < askedCount
    }

    private class Query(
        val message: PeerMessage.StreamQuery,
        ips: List<String>,
        val onAnswer: (Answer) -> Unit
    ) {
        val askedCount = ips.size
        val waitingFor = ips.toHashSet()
        val replies = ArrayList<PeerMessage.StreamReply>()
        var timeouts: List<TimerService.Subscription> = emptyList()
    }

    private companion object {
        /** A round trip, also between regions; hosts that are dead do not reply. */
        const val TIMEOUT_MS = 100L

        /** A query or its reply may be lost. */
        const val REPEAT_AFTER_MS = 40L

        /** With [TIMEOUT_MS], bounds the queries of a flood of take-ups while hosts are dead. */
        const val MAX_QUERIES = 200
    }
}
