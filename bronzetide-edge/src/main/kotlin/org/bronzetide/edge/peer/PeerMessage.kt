package org.bronzetide.edge.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborLabel
import org.bronzetide.coordination.Membership

/** What hosts tell each other, one message a datagram. Every message may be lost. */
@Serializable
internal sealed class PeerMessage {
    /** Asks for a sign of life, and carries changes of the membership. */
    @Serializable
    @SerialName("p")
    data class Probe(
        @CborLabel(1) val probe: Membership.Probe,
        /** Whether this answers a probe. */
        @CborLabel(2) val isAck: Boolean,
        /** The sender's manifest, so that a host with an older one fetches it. */
        @CborLabel(3) val manifestVersion: Long
    ) : PeerMessage()

    /** A host's own loads, to the hub. */
    @Serializable
    @SerialName("r")
    data class Report(
        @CborLabel(1) val host: String,
        @CborLabel(2) val loads: List<Load>,
        @CborLabel(3) val quotas: List<QuotaTotal>,
        @CborLabel(4) val suspects: List<String> = emptyList(),
        @CborLabel(5) val slowdowns: List<Slowdown> = emptyList()
    ) : PeerMessage()

    /** The loads of all hosts but the receiver, from the hub. */
    @Serializable
    @SerialName("s")
    data class Summary(
        @CborLabel(1) val aggregator: String,
        @CborLabel(2) val loads: List<Load>,
        @CborLabel(3) val quotas: List<QuotaTotal>,
        @CborLabel(4) val hostCount: Int,
        @CborLabel(5) val suspects: List<String> = emptyList(),
        @CborLabel(6) val slowdowns: List<Slowdown> = emptyList(),
        /** How long the hub has counted. */
        @CborLabel(7) val aggregatorAgeMs: Long = Long.MAX_VALUE
    ) : PeerMessage()

    /** The requests that were sent to a target and have not ended. */
    @Serializable
    data class Load(
        @CborLabel(1) val target: String,
        @CborLabel(2) val count: Int,
        @CborLabel(3) val promptTokens: Long
    )

    /** The speed of a target against the usual one, in percent. */
    @Serializable
    data class Slowdown(
        @CborLabel(1) val target: String,
        @CborLabel(2) val percent: Int,
        /** The answers that it was learned from; 0 in a summary. */
        @CborLabel(3) val samples: Int = 0
    )

    /** What was taken of an account's quota in all. */
    @Serializable
    data class QuotaTotal(
        @CborLabel(1) val account: String,
        @CborLabel(2) val units: Long,
        /** In a report, the same when its sender last got a summary. */
        @CborLabel(3) val unitsAtLastUpdate: Long = units
    )

    companion object {
        /** CBOR with integer keys. */
        val codec = Cbor {
            preferCborLabelsOverNames = true
            ignoreUnknownKeys = true
        }
    }
}
