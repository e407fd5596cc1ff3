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
    val slowdown = SlowdownEstimator()

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
