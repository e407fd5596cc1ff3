package org.bronzetide.edge.soak

import org.bronzetide.http.Header

/**
 * The limit on requests that a target of a soak names in its responses, and the check of what it
 * gets meanwhile. Thread-safe.
 */
class SoakLimit(private val targetId: String, private val checker: SoakChecker) {
    private var perSecond: Double? = null
    private var namedAtMs = 0L
    private val arrivalsMs = ArrayDeque<Long>()

    /** Names [requestsPerSecond] from now on, or no limit if it is `null`. */
    @Synchronized
    fun name(requestsPerSecond: Double?) {
        perSecond = requestsPerSecond
        namedAtMs = nowMs()
        arrivalsMs.clear()
    }

    /** The header of a response. */
    @Synchronized
    fun headers(): List<Header> =
        listOfNotNull(perSecond?.let { Header("Server-Limit", it.toString()) })

    /** Records that a request has reached the target. */
    @Synchronized
    fun onArrival() {
        val named = perSecond ?: return
        val nowMs = nowMs()
        if (nowMs < namedAtMs + SETTLING_MS) return
        arrivalsMs.addLast(nowMs)
        while (arrivalsMs.first() <= nowMs - WINDOW_MS) arrivalsMs.removeFirst()
        if (arrivalsMs.size > 1.5 * WINDOW_MS / 1_000 * named + 5) {
            checker.violations += "limit: $targetId takes $named a second and got a request more " +
                "than allowed in $WINDOW_MS ms"
        }
    }

    private fun nowMs() = System.nanoTime() / 1_000_000

    companion object {
        /** How long after it was named a limit need not hold. */
        const val SETTLING_MS = 3_000L
        private const val WINDOW_MS = 4_000L
    }
}
