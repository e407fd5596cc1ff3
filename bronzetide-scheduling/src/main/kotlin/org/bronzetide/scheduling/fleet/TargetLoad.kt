package org.bronzetide.scheduling.fleet

/** The load, slowdown and health of a target as known on one host. */
internal class TargetLoad(var spec: FleetTarget) {
    /** Requests that this host has sent and that have not ended. */
    var ownCount = 0
        private set

    /** Prompt tokens of this host's requests that have no first event yet. */
    var ownPromptTokens = 0L
        private set

    /** The same for the other hosts, as last known. */
    var peerCount = 0
        private set
    var peerPromptTokens = 0L
        private set
    private var countReportedAtMs = Long.MIN_VALUE / 2

    /** The time at which [peerCount] was counted, in milliseconds. */
    var peerCountAtMs = Long.MIN_VALUE / 2
        private set

    /**
     * Random from 0 to 1, drawn each time that the loads of the other hosts are updated, or
     * [NO_DRAW] if the request that it stands for was sent.
     */
    var spareDraw = NO_DRAW

    /** Whether the target failed on other hosts recently. */
    var isSuspectedByPeers = false

    /** The time until which the target wants no requests from this host, in milliseconds. */
    var restingUntilMs = 0L
        private set

    /** How many times longer than usual the target takes, learned from its event intervals. */
    val slowdown = SlowdownEstimator()

    private val momentarySlowdown = MomentarySlowdown()
    private val health = TargetHealth()

    /** The time until which the target is ejected, in milliseconds. */
    val ejectedUntilMs: Long get() = health.ejectedUntilMs

    val count: Int get() = ownCount + peerCount
    val promptTokens: Long get() = ownPromptTokens + peerPromptTokens

    /** How many times longer than usual work takes at [nowMs], as learned and as reported. */
    fun slowdownAt(nowMs: Long): Double = slowdown.current * momentarySlowdown.at(nowMs)

    /** Updates the load of the other hosts with [load], which was counted [ageMs] ms ago. */
    fun updatePeerLoad(load: FleetScheduler.PeerLoad?, nowMs: Long, ageMs: Long) {
        peerPromptTokens = load?.promptTokens ?: 0
        val isReportNewer = countReportedAtMs > nowMs - ageMs
        if (isReportNewer) return
        peerCount = load?.count ?: 0
        peerCountAtMs = nowMs - ageMs
    }

    /** Records a report of the target: [inProgress] requests, and its [slowdown] if it has one. */
    fun onReported(inProgress: Int, slowdown: Double?, nowMs: Long) {
        peerCount = (inProgress - ownCount).coerceIn(0, spec.slots * MAX_PEERS_PER_SLOT)
        countReportedAtMs = nowMs
        peerCountAtMs = nowMs
        slowdown?.let { momentarySlowdown.update(it, nowMs) }
    }

    /** Records that the target wants no requests before [untilMs]. */
    fun rest(untilMs: Long) {
        restingUntilMs = maxOf(restingUntilMs, untilMs)
    }

    fun start(promptTokens: Int) {
        ownCount++
        ownPromptTokens += promptTokens
    }

    fun onFirstEvent(promptTokens: Int) {
        ownPromptTokens = (ownPromptTokens - promptTokens).coerceAtLeast(0)
    }

    fun end() {
        ownCount--
    }

    /** Records how a request ended; [mayEject] returns whether the target may be ejected. */
    fun onOutcome(outcome: FleetOutcome, nowMs: Long, mayEject: () -> Boolean) {
        if (health.onOutcome(outcome) && mayEject()) health.eject(nowMs)
    }

    companion object {
        const val NO_DRAW = Double.MAX_VALUE

        /** Bounds the effect of a target that exaggerates. */
        private const val MAX_PEERS_PER_SLOT = 3
    }
}
