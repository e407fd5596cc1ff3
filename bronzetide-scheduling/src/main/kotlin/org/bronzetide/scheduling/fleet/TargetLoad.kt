package org.bronzetide.scheduling.fleet

/** What one host knows of the load, the speed and the health of a target. */
internal class TargetLoad(var spec: FleetTarget) {
    /** Requests that this host has sent and that have not ended. */
    var ownCount = 0
        private set

    /** Prompt tokens that this host has sent and that have no first event yet. */
    var ownPromptTokens = 0L
        private set

    /** The same of the other hosts, as last heard. */
    var peerCount = 0
    var peerPromptTokens = 0L

    /** Whether the target failed at other hosts lately. */
    var isSuspectedByPeers = false

    /** How much longer this target takes than is usual, learned from the pace of its answers. */
    val pace = Pace()

    private val health = TargetHealth()

    /** Until when the target gets a rest after failures. */
    val ejectedUntilMs: Long get() = health.ejectedUntilMs

    val count: Int get() = ownCount + peerCount
    val promptTokens: Long get() = ownPromptTokens + peerPromptTokens

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

    /** Notes how a request ended; [mayEject] says whether the target could be spared now. */
    fun onOutcome(outcome: FleetOutcome, nowMs: Long, mayEject: () -> Boolean) {
        if (health.onOutcome(outcome) && mayEject()) health.eject(nowMs)
    }
}

/** The speed of a target against the usual one, as a moving average; 1 is usual, 2 half as fast. */
internal class Pace {
    var factor = 1.0
        private set
    var samples = 0
        private set

    fun learn(observed: Double) {
        if (!observed.isFinite() || observed <= 0) return
        val gain = if (samples < SETTLING_SAMPLES) 1.0 / (samples + 1) else GAIN
        factor += (observed.coerceIn(MIN_FACTOR, MAX_FACTOR) - factor) * gain
        samples++
    }

    private companion object {
        const val SETTLING_SAMPLES = 5
        const val GAIN = 0.15
        const val MIN_FACTOR = 0.1
        const val MAX_FACTOR = 20.0
    }
}
