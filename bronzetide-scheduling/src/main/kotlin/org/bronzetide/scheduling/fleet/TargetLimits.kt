package org.bronzetide.scheduling.fleet

/** The limits on requests that targets have stated, as known on one host. Single-threaded. */
public class TargetLimits {
    private val limits = HashMap<String, RequestLimit>()

    /**
     * Called when the limit of a target changes, with its id and the requests a second that it
     * takes from all hosts together, or `null` if it has no limit any more.
     */
    public var onChange: (targetId: String, perSecond: Double?) -> Unit = { _, _ -> }

    /** Records that the target with [targetId] has stated [limit]. */
    public fun onStated(targetId: String, limit: RequestLimit) {
        val before = limits[targetId]
        if (before == null && limit.perSecond == null) return
        val after = before?.mergedWith(limit) ?: limit
        limits[targetId] = after
        if (after.perSecond != before?.perSecond) onChange(targetId, after.perSecond)
    }

    /** The requests a second that a target takes from all hosts together; `null` for no limit. */
    public fun perSecond(targetId: String): Double? = limits[targetId]?.perSecond
}
