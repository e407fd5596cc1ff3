package org.bronzetide.scheduling.fleet

/**
 * What a host knows about the grants of the other hosts, which decides how much of a quota it may
 * spend by itself.
 */
public sealed class PeerKnowledge {
    /** The share of each quota's rate that the host may grant. */
    public abstract val rateShare: Double

    /**
     * The grants of the others are known but for the propagation delay. The host may spend all that
     * is left of a quota. [rateShare] is below 1 if some hosts do not report and may grant theirs.
     */
    public data class Current(override val rateShare: Double = 1.0) : PeerKnowledge()

    /**
     * The grants of the others are unknown, and [hostCount] hosts may grant at the same time. The
     * host may spend only its share of what was left of a quota, and of its rate.
     */
    public data class Unknown(val hostCount: Int) : PeerKnowledge() {
        /** Less than an equal share: hosts that consider this one dead grant its share. */
        override val rateShare: Double get() = SHARE_OF_UNKNOWN / hostCount.coerceAtLeast(1)
    }

    private companion object {
        const val SHARE_OF_UNKNOWN = 0.5
    }
}
