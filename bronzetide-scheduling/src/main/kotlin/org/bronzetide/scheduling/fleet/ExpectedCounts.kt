package org.bronzetide.scheduling.fleet

import kotlin.math.exp

/**
 * How many requests run at the targets of one service, as far as a host can tell.
 *
 * In a large fleet, the counts of other hosts are some hundred milliseconds old. When the runs that
 * they counted are shorter than that, they tell nothing about the present, and hosts that trust
 * them all send to the same target while the slots of another one stay empty.
 */
internal sealed class ExpectedCounts {
    /** The requests that are expected to be in progress at [load]. */
    abstract fun of(load: TargetLoad): Double

    /** The requests that [load] should have in progress at most. */
    abstract fun capacityOf(load: TargetLoad): Double

    /** Whether one more request may be sent to [load], with [reserved] slots left free. */
    fun isFree(load: TargetLoad, reserved: Int): Boolean =
        of(load) + 1 + reserved <= capacityOf(load) + HALF_REQUEST

    /** The counts as last known, where they are recent. */
    data object AsKnown : ExpectedCounts() {
        override fun of(load: TargetLoad): Double = load.count.toDouble()

        override fun capacityOf(load: TargetLoad): Double = load.spec.slots.toDouble()
    }

    /**
     * The counts of peers count less as they get older than a typical run of [runMs] milliseconds;
     * [meanPeerCount], the mean over all targets of the service, takes their place.
     *
     * At a target whose runs are shorter than the age of its count, slots become free that no host
     * sees. Up to another request a slot is sent to it, which waits there for less than one run.
     * Engines get none of these: their runs are long, and would wait behind a prompt.
     */
    class ByAge(
        private val meanPeerCount: Double,
        private val runMs: Double,
        private val nowMs: Long
    ) : ExpectedCounts() {
        override fun of(load: TargetLoad): Double {
            val fromPeers = meanPeerCount + (load.peerCount - meanPeerCount) * weightOf(load)
            return load.ownCount + fromPeers
        }

        override fun capacityOf(load: TargetLoad): Double {
            val unseen = if (load.spec.isEngine) 0.0 else 1 - weightOf(load)
            return load.spec.slots * (1 + unseen)
        }

        private fun weightOf(load: TargetLoad): Double {
            val ageMs = (nowMs - load.peerCountAtMs).coerceAtLeast(0)
            return exp(-ageMs / runMs)
        }
    }

    private companion object {
        /** Expected counts are fractions; a target with half a request more than known is full. */
        const val HALF_REQUEST = 0.5
    }
}
