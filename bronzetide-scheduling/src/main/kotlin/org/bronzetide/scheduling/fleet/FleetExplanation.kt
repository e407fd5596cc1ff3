package org.bronzetide.scheduling.fleet

/** What [FleetScheduler] would decide on a ticket at one moment, and what that follows from. */
public data class FleetExplanation(
    val verdict: Verdict,
    /** The ticket's rank in the queue, by priority, [shareBand] and whether it would be late. */
    val rank: Int,
    /** What the ticket's account got recently, by which the ticket is ranked. */
    val shareBand: ShareBand,
    /** The requests of the service on this host that would be sent before the ticket. */
    val aheadCount: Int,
    /** The requests of the service that run or wait on this host, without the ticket. */
    val ownDemand: Int,
    /** The same for all other hosts together; `null` if they have not reported any. */
    val peerDemand: Int?,
    /** Whether this host already uses its share of the slots of targets without a limit. */
    val isShareUsed: Boolean,
    /** Whether the scheduler compares only a random sample of the free candidates. */
    val isSampled: Boolean,
    /** All known targets of the service: those that may get the ticket first, best first. */
    val candidates: List<Candidate>
) {
    /** The decision on the ticket. */
    public sealed class Verdict {
        /** It would be sent at once, most likely to [targetId]. */
        public data class Send(val targetId: String) : Verdict()

        /** It would wait for [reason], for [maxWaitMs] ms at most. */
        public data class Wait(val reason: String, val maxWaitMs: Long) : Verdict()

        /** It would be refused for [reason]. */
        public data class Refuse(val reason: String) : Verdict()
    }

    /** Whether a target may get the ticket now, or what prevents that. */
    public enum class Standing {
        FREE,

        /** Other hosts have ejected it; used only if no other is free. */
        SUSPECTED,

        /** It has a free slot, but the response could not end in time on it. */
        TOO_SLOW,

        /** It has a free slot, but requests may not be sent to its version now. */
        VERSION_NOT_ALLOWED,

        /** Its free slot is reserved for more urgent requests. */
        RESERVED,

        /** This host uses its share of the service's slots. */
        SHARE_USED,

        /** All of its slots are in use. */
        FULL,

        /** It has stated a limit, and this host has no permit for it. */
        NO_PERMIT,

        /** It failed repeatedly; used only if all others have, too. */
        EJECTED,

        /** It wants no requests from this host for a while. */
        RESTING,

        /** It does not run the version that the ticket must go to. */
        OTHER_VERSION,
        LEAVING
    }

    /** A target of the ticket's service. Counts are of requests in progress. */
    public data class Candidate(
        val id: String,
        val zone: String,
        val standing: Standing,
        val ownCount: Int,
        val peerCount: Int,
        val slots: Int,
        /** How many times longer than usual the target takes. */
        val slowdown: Double,
        /** The predicted time to the first event in ms; `null` if the target is no engine. */
        val firstEventMs: Double?,
        /** What the choice between free targets compares, apart from jitter; lower is better. */
        val score: Double,
        /** The requests a second that it takes from all hosts; `null` for no limit. */
        val limitPerSecond: Double?
    )
}
