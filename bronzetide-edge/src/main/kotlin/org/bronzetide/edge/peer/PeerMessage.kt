package org.bronzetide.edge.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborLabel
import org.bronzetide.coordination.Membership

/**
 * A message between hosts, sent as one datagram, or as several [Fragment]s if it is too long for
 * one. Any message may be lost.
 */
@Serializable
internal sealed class PeerMessage {
    /** The name of this kind of message in logs and metrics. */
    val kind: String
        get() = when (this) {
            is Probe -> "probe"
            is Report -> "report"
            is Grants -> "grants"
            is Summary -> "summary"
            is StreamPush -> "stream push"
            is StreamQuery -> "stream query"
            is StreamReply -> "stream reply"
            is Fragment -> "fragment"
        }

    /** A membership probe or its acknowledgement, with changes of the membership. */
    @Serializable
    @SerialName("p")
    data class Probe(
        @CborLabel(1) val probe: Membership.Probe,
        /** Whether this acknowledges a probe. */
        @CborLabel(2) val isAck: Boolean,
        /** The sender's manifest version, so that a host with an older one fetches it. */
        @CborLabel(3) val manifestVersion: Long
    ) : PeerMessage()

    /** A host's own loads, sent to the aggregator. */
    @Serializable
    @SerialName("r")
    data class Report(
        @CborLabel(1) val host: String,
        @CborLabel(2) val loads: List<Load>,
        @CborLabel(3) val quotas: List<QuotaTotal>,
        @CborLabel(4) val suspects: List<String> = emptyList(),
        @CborLabel(5) val slowdowns: List<Slowdown> = emptyList(),
        @CborLabel(6) val demands: List<Demand> = emptyList(),
        @CborLabel(7) val crashes: Crashes? = null,
        /** Whether it is a copy for the backup, which has quotas only. */
        @CborLabel(8) val isForBackup: Boolean = false,
        @CborLabel(9) val statements: Statements? = null,
        /** Whether the host has started and does not know yet what is left of quotas. */
        @CborLabel(10) val needsQuotaLevels: Boolean = false,
        /** The rollouts that it knows, some of the time while there are any. */
        @CborLabel(11) val rollouts: List<Rollout>? = null
    ) : PeerMessage()

    /** What the others have consumed of quotas, from an aggregator or its backup. */
    @Serializable
    @SerialName("g")
    data class Grants(
        @CborLabel(1) val aggregator: String,
        /** The totals of some accounts; those left out are unchanged. */
        @CborLabel(2) val quotas: List<QuotaTotal>,
        @CborLabel(3) val hostCount: Int,
        /** How long the sender has summed reports, in milliseconds. */
        @CborLabel(4) val aggregatorAgeMs: Long,
        /** What is left of quotas, if the receiver needs it and the sender knows it. */
        @CborLabel(5) val quotaLevels: List<QuotaLevel>? = null
    ) : PeerMessage()

    /** The summed loads of all hosts but the receiver, sent by the aggregator. */
    @Serializable
    @SerialName("s")
    data class Summary(
        @CborLabel(1) val aggregator: String,
        @CborLabel(2) val loads: List<Load>,
        @CborLabel(3) val quotas: List<QuotaTotal>,
        @CborLabel(4) val hostCount: Int,
        @CborLabel(5) val suspects: List<String> = emptyList(),
        @CborLabel(6) val slowdowns: List<Slowdown> = emptyList(),
        /** How long the aggregator has summed reports, in milliseconds. */
        @CborLabel(7) val aggregatorAgeMs: Long = Long.MAX_VALUE,
        @CborLabel(8) val demands: List<Demand> = emptyList(),
        @CborLabel(9) val crashes: Crashes? = null,
        @CborLabel(10) val statements: Statements? = null,
        /** What is left of quotas, if the receiver needs it and the sender knows it. */
        @CborLabel(11) val quotaLevels: List<QuotaLevel>? = null,
        /** The rollouts that the others know, some of the time while there are any. */
        @CborLabel(12) val rollouts: List<Rollout>? = null
    ) : PeerMessage()

    /** Where streams have begun, sent to the hosts that keep it. */
    @Serializable
    @SerialName("o")
    data class StreamPush(@CborLabel(1) val groups: List<StreamGroup>) : PeerMessage()

    /** Asks for the origin of [stream] and for the versions of [services]. */
    @Serializable
    @SerialName("q")
    data class StreamQuery(
        @CborLabel(1) val query: Long,
        @CborLabel(2) val stream: Long,
        @CborLabel(3) val services: List<String>
    ) : PeerMessage()

    /** What the sender knows of the stream and the services of [query]. */
    @Serializable
    @SerialName("a")
    data class StreamReply(
        @CborLabel(1) val query: Long,
        /** `null`, as is [version], if the origin is unknown. */
        @CborLabel(2) val service: String? = null,
        @CborLabel(3) val version: String? = null,
        @CborLabel(4) val services: List<ServiceVersions> = emptyList()
    ) : PeerMessage()

    /** A part of the encoded [message], which is a random number that tells it from others. */
    @Serializable
    @SerialName("f")
    class Fragment(
        @CborLabel(1) val message: Long,
        /** Counts from 0. */
        @CborLabel(2) val index: Int,
        @CborLabel(3) val count: Int,
        @ByteString @CborLabel(4) val bytes: ByteArray
    ) : PeerMessage()

    /** Streams that have begun at [version] of [service] and expire at about the same time. */
    @Serializable
    class StreamGroup(
        @CborLabel(1) val service: String,
        @CborLabel(2) val version: String,
        /** The time until they expire, in seconds. */
        @CborLabel(3) val remainingS: Int,
        /** The ids of the streams, 8 bytes each with the highest first. */
        @ByteString @CborLabel(4) val ids: ByteArray
    )

    /** Some versions that [service] had within the window, at least two if it had several. */
    @Serializable
    data class ServiceVersions(
        @CborLabel(1) val service: String,
        @CborLabel(2) val versions: List<SeenVersion>,
        /** Whether the sender knows all versions that it had. */
        @CborLabel(3) val isSettled: Boolean,
        /** Whether a stream of a route to [service] may have begun at another one. */
        @CborLabel(4) val isAmbiguous: Boolean = false
    )

    /** A version that last had targets [agoMs] milliseconds before the message. */
    @Serializable
    data class SeenVersion(@CborLabel(1) val name: String, @CborLabel(2) val agoMs: Long)

    /** The requests in progress at a target. */
    @Serializable
    data class Load(
        @CborLabel(1) val target: String,
        @CborLabel(2) val count: Int,
        @CborLabel(3) val promptTokens: Long
    )

    /** The requests of [rank] for [service] that run or wait. */
    @Serializable
    data class Demand(
        @CborLabel(1) val service: String,
        @CborLabel(2) val rank: Int,
        @CborLabel(3) val count: Int
    )

    /** How long a target takes relative to the usual time, in percent. */
    @Serializable
    data class Slowdown(
        @CborLabel(1) val target: String,
        @CborLabel(2) val percent: Int,
        /** The number of responses that it was learned from; 0 in a summary. */
        @CborLabel(3) val samples: Int = 0
    )

    /** The units consumed of an account's quota in total. */
    @Serializable
    data class QuotaTotal(
        @CborLabel(1) val account: String,
        @CborLabel(2) val units: Long,
        /** In a report, the same total when its sender last received a summary. */
        @CborLabel(3) val unitsAtLastUpdate: Long = units
    )

    /** The units that are left of an account's quota. */
    @Serializable
    data class QuotaLevel(@CborLabel(1) val account: String, @CborLabel(2) val units: Long)

    /** What the sender knows about crashes of targets. Ages are in milliseconds. */
    @Serializable
    data class Crashes(
        @CborLabel(1) val runs: List<CrashedRun>,
        @CborLabel(2) val served: List<ServedPart>
    )

    /** A run during which its target crashed, with the shared parts of its prompt. */
    @Serializable
    data class CrashedRun(
        @CborLabel(1) val id: Long,
        @CborLabel(2) val target: String,
        @CborLabel(3) val parts: List<String>,
        @CborLabel(4) val startedAgoMs: Long,
        @CborLabel(5) val endedAgoMs: Long
    )

    /** When a response to a prompt with the part last began and went on. */
    @Serializable
    data class ServedPart(@CborLabel(1) val part: String, @CborLabel(2) val agoMs: Long)

    /** What targets have said of themselves, as far as the receiver may not know it. */
    @Serializable
    data class Statements(
        /** When this was sent, in milliseconds on the sender's clock. */
        @CborLabel(1) val sentAtMs: Long,
        /** [sentAtMs] of the latest statements that the sender has got from the receiver. */
        @CborLabel(2) val repliesToSentAtMs: Long?,
        @CborLabel(3) val limits: List<Limit> = emptyList(),
        /** In a report, the requests that the sender would send to limited targets. */
        @CborLabel(4) val sendDemands: List<SendDemand> = emptyList(),
        /** In a summary, the permits of the receiver to send to limited targets. */
        @CborLabel(5) val permits: List<Permits> = emptyList(),
        /** The targets that leave. */
        @CborLabel(6) val departures: List<Target> = emptyList(),
        /** The services whose targets must not have to refuse requests. */
        @CborLabel(7) val brittle: List<Brittle> = emptyList()
    )

    /** A target of [service] said [statedAgoMs] before the message how many refusals it bears. */
    @Serializable
    data class Brittle(
        @CborLabel(1) val service: String,
        /** In thousandths of a request a second. */
        @CborLabel(2) val refusalsPerKiloSecond: Long,
        @CborLabel(3) val statedAgoMs: Long
    )

    /** One start of a target. */
    @Serializable
    data class Target(@CborLabel(1) val id: String, @CborLabel(2) val start: Int)

    /** A target's limit. It was stated between two moments, this long before the message. */
    @Serializable
    data class Limit(
        @CborLabel(1) val target: Target,
        /** Thousandths of a request a second, or `null` for no limit. */
        @CborLabel(2) val perKiloSecond: Long?,
        @CborLabel(3) val askedAgoMs: Long,
        @CborLabel(4) val heardAgoMs: Long
    )

    /** The requests for [service] that wait, and more that are expected soon. */
    @Serializable
    data class SendDemand(
        @CborLabel(1) val service: String,
        @CborLabel(2) val waiting: Int,
        @CborLabel(3) val expected: Int
    )

    /** The number of requests that may be sent to a target. */
    @Serializable
    data class Permits(@CborLabel(1) val target: Target, @CborLabel(2) val count: Int)

    /** What the sender knows of the rollout of a service's version. */
    @Serializable
    data class Rollout(
        @CborLabel(1) val service: String,
        @CborLabel(2) val to: String,
        @CborLabel(3) val durationMs: Long,
        /** The time since the order, in milliseconds. */
        @CborLabel(4) val elapsedMs: Long,
        /** 0 if it is undecided, 1 if it is completed, 2 if the version gets no requests. */
        @CborLabel(5) val decision: Int = 0,
        /** Whether the store has the decision. */
        @CborLabel(6) val isRecorded: Boolean = false,
        @CborLabel(7) val evidence: String = "",
        @CborLabel(8) val routes: List<RouteResponses> = emptyList(),
        @CborLabel(9) val failures: List<TargetFailures> = emptyList()
    )

    /** The failures at a target of a new version. */
    @Serializable
    data class TargetFailures(@CborLabel(1) val target: String, @CborLabel(2) val count: Long)

    /** The responses on a route, of the new version or of the others; logarithms are in 1/1000. */
    @Serializable
    data class RouteResponses(
        @CborLabel(1) val route: String,
        @CborLabel(2) val isNew: Boolean,
        @CborLabel(3) val ended: Long,
        @CborLabel(4) val failures: Long = 0,
        @CborLabel(5) val answered: Long = ended,
        @CborLabel(6) val lnMilliSum: Long = 0,
        @CborLabel(7) val lnSquareMilliSum: Long = 0
    )

    companion object {
        /** CBOR with integer labels as keys. */
        val codec = Cbor {
            preferCborLabelsOverNames = true
            ignoreUnknownKeys = true
        }
    }
}
