package org.bronzetide.edge.peer

import kotlin.random.Random
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.telemetry.DecisionLog

/**
 * Converts messages between hosts to datagrams of [MAX_DATAGRAM_BYTES] at most, and back.
 *
 * A longer message is sent in parts, which the receiver joins: lists such as the loads replace the
 * previous ones, and accounts that a message leaves out count as unchanged, so a part of a message
 * must not be taken for the whole. Messages of more than [MAX_MESSAGE_BYTES] are cut first, as
 * [PeerMessageBudget] tells. Texts and numbers are bounded by [PeerMessageLimits] on both sides.
 *
 * [encode] and [decode] may be called on different threads.
 */
internal class PeerMessageCodec(
    clock: MonotonicClock,
    private val log: DecisionLog,
    /** Called with the message's kind, the list and the number of entries that are left out. */
    private val onLeftOut: (kind: String, list: String, count: Int) -> Unit = { _, _, _ -> },
    random: Random = Random.Default
) {
    private val sentLimits = PeerMessageLimits { kind, list, count ->
        reportLeftOut("entries not sent to a peer", kind, list, count)
    }
    private val receivedLimits = PeerMessageLimits { kind, list, count ->
        reportLeftOut("entries of a peer not used", kind, list, count)
    }
    private val budget = PeerMessageBudget(MAX_MESSAGE_BYTES) { kind, list, count ->
        reportLeftOut("entries left for later messages", kind, list, count)
    }
    private val joiner = PeerMessageJoiner(clock)

    /** Parts of a process that ran here before must not be taken for those of this one. */
    private var nextId = random.nextLong()

    /** Returns the datagrams with [message] to [receiver]; none if it cannot be sent. */
    @Synchronized
    fun encode(message: PeerMessage, receiver: String): List<ByteArray> {
        val sound = sentLimits.bounded(message) ?: return emptyList()
        val whole = PeerMessage.codec.encodeToByteArray(sound)
        if (whole.size <= MAX_DATAGRAM_BYTES) return listOf(whole)
        if (whole.size > LARGE_MESSAGE_BYTES) {
            log.rareFailure(
                "large message to a peer",
                message.kind,
                cause = null,
                "bytes" to whole.size,
                "to" to receiver,
                "entries" to entryCounts(sound)
            )
        }
        if (whole.size <= MAX_MESSAGE_BYTES) return split(whole)
        val cut = PeerMessage.codec.encodeToByteArray(budget.fit(sound, receiver))
        return if (cut.size <= MAX_MESSAGE_BYTES) split(cut) else emptyList()
    }

    /** Returns the message that is complete with [datagram] from [sender], or `null`. */
    fun decode(datagram: ByteArray, sender: String): PeerMessage? = try {
        when (val message = PeerMessage.codec.decodeFromByteArray<PeerMessage>(datagram)) {
            is PeerMessage.Fragment ->
                joiner.add(sender, message)
                    ?.let { PeerMessage.codec.decodeFromByteArray<PeerMessage>(it) }
                    ?.takeIf { it !is PeerMessage.Fragment }

            else -> message
        }?.let(receivedLimits::bounded)
    } catch (cause: SerializationException) {
        logMalformed(datagram, sender, cause)
        null
    } catch (cause: IllegalArgumentException) {
        logMalformed(datagram, sender, cause)
        null
    } catch (cause: IndexOutOfBoundsException) {
        logMalformed(datagram, sender, cause)
        null
    } catch (cause: OutOfMemoryError) {
        // A length that a datagram states is allocated at once, whatever follows.
        logMalformed(datagram, sender, cause)
        null
    }

    private fun split(message: ByteArray): List<ByteArray> {
        if (message.size <= MAX_DATAGRAM_BYTES) return listOf(message)
        val id = nextId++
        val count = (message.size + PART_BYTES - 1) / PART_BYTES
        return (0 until count).map { index ->
            val from = index * PART_BYTES
            val bytes = message.copyOfRange(from, minOf(from + PART_BYTES, message.size))
            val part: PeerMessage = PeerMessage.Fragment(id, index, count, bytes)
            PeerMessage.codec.encodeToByteArray(part)
        }
    }

    private fun logMalformed(datagram: ByteArray, sender: String, cause: Throwable) =
        log.rareFailure(
            "malformed datagram received",
            "malformed",
            cause,
            "bytes" to datagram.size,
            "from" to sender
        )

    private fun reportLeftOut(event: String, kind: String, list: String, count: Int) {
        onLeftOut(kind, list, count)
        log.rareFailure(event, "$kind $list", cause = null, "count" to count)
    }

    internal companion object {
        /** Six packets of an Ethernet; UDP allows for 65,507. */
        const val MAX_DATAGRAM_BYTES = 8_192

        /** The quotas of 7,000 accounts take half of it. */
        const val MAX_MESSAGE_BYTES = 512 * 1_024

        /** More than usual in any fleet; worth a line of log. */
        const val LARGE_MESSAGE_BYTES = 64 * 1_024

        /** The rest of a datagram holds the part's number, its message's id and their labels. */
        private const val PART_BYTES = MAX_DATAGRAM_BYTES - 64
        const val MAX_PARTS = MAX_MESSAGE_BYTES / PART_BYTES + 1

        private fun entryCounts(message: PeerMessage): List<String> = when (message) {
            is PeerMessage.Report -> listOf(
                "quotas ${message.quotas.size}",
                "loads ${message.loads.size}",
                "suspects ${message.suspects.size}",
                "slowdowns ${message.slowdowns.size}",
                "demands ${message.demands.size}",
                "crashed runs ${message.crashes?.runs?.size ?: 0}",
                "limits ${message.statements?.limits?.size ?: 0}",
                "rollouts ${message.rollouts?.size ?: 0}"
            )

            is PeerMessage.Summary -> listOf(
                "quotas ${message.quotas.size}",
                "loads ${message.loads.size}",
                "suspects ${message.suspects.size}",
                "slowdowns ${message.slowdowns.size}",
                "demands ${message.demands.size}",
                "crashed runs ${message.crashes?.runs?.size ?: 0}",
                "limits ${message.statements?.limits?.size ?: 0}",
                "rollouts ${message.rollouts?.size ?: 0}"
            )

            is PeerMessage.Grants -> listOf("quotas ${message.quotas.size}")

            is PeerMessage.Probe -> listOf("rumors ${message.probe.rumors.size}")

            is PeerMessage.StreamPush -> listOf("groups ${message.groups.size}")

            is PeerMessage.StreamQuery -> listOf("services ${message.services.size}")

            is PeerMessage.StreamReply -> listOf("services ${message.services.size}")

            is PeerMessage.Fragment -> emptyList()
        }
    }
}
