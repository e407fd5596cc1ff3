package org.bronzetide.scheduling.fleet

/** The load, slowdown and health of a target as known on one host. */
internal class TargetLoad(var spec: FleetTarget) {
    /** Requests that this host has sent and that have not ended. */
    var ownCount = 0
        private set

    /** Prompt tokens of this host's requests that have no first event yet. */
    var ownPromptTokens = 0L
        private set

    /** The same for the other hosts, as of the last update. */
    var peerCount = 0
    var peerPromptTokens = 0L

    /** Whether the target failed on other hosts recently. */
    var isSuspectedByPeers = false

    /** How many times longer than usual the target takes, learned from its event intervals. */
    val slowdown = SlowdownEstimator()

    private val health = TargetHealth()

    /** The time until which the target is ejected, in milliseconds. */
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

    /** Records how a request ended; [mayEject] returns whether the target may be ejected. */
    fun onOutcome(outcome: FleetOutcome, nowMs: Long, mayEject: () -> Boolean) {
        if (health.onOutcome(outcome) && mayEject()) health.eject(nowMs)
    }
}
