package org.bronzetide.scheduling.fleet

/**
 * Limits the requests of one host to a version that may be bad, by the requests that it has sent to
 * the service.
 *
 * The bound of all hosts together holds without communication, because each host keeps to its share
 * of it. Requests that were refused and repeated sends of a request do not add to the budget.
 */
internal class ExposureBudget(private val share: Double, private val slack: Double) {
    private var requests = 0L

    /** The requests that were sent to the version, including repeated ones. */
    var exposed = 0L
        private set

    /** Counts a send of a request; [isFirst] tells that it was not sent before. */
    fun onSend(isFirst: Boolean, isExposed: Boolean) {
        if (isFirst) requests++
        if (isExposed) exposed++
    }

    /** Takes back a send that was counted but not made. */
    fun onUnsent(isFirst: Boolean, isExposed: Boolean) {
        if (isFirst) requests--
        if (isExposed) exposed--
    }

    /**
     * Whether another request may be sent to the version, using at most [part] of the budget. With
     * [hostCount] 0, which is unknown, there is no share of the slack. [pending] requests have
     * been decided on but not counted yet.
     */
    fun allows(part: Double, hostCount: Int, pending: Int): Boolean {
        val slackShare = if (hostCount > 0) slack * SLACK_SAFETY_FACTOR / hostCount else 0.0
        val allowed = part * (share * SHARE_SAFETY_FACTOR * requests + slackShare)
        return exposed + pending + 1 <= allowed
    }

    private companion object {
        /** For requests of hosts that were killed before they were counted at the targets. */
        const val SHARE_SAFETY_FACTOR = 0.9

        /** Half of the hosts may restart during a rollout and then use their share again. */
        const val SLACK_SAFETY_FACTOR = 0.5
    }
}
