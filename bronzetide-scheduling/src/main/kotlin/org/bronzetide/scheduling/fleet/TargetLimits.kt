package org.bronzetide.scheduling.fleet

/**
 * The limits on requests that targets have stated, as known on one host, and the host's permits to
 * send to these targets.
 *
 * A limit holds for all hosts together, so a target that has one gets a request only for a permit,
 * which one host hands out for all of them ([PermitIssuer]). A permit that is not used in time is
 * lost. A limit outlasts the target's entry, which may be missing for a while, but not its start.
 * Single-threaded.
 */
public class TargetLimits {
    private val entries = object : LinkedHashMap<TargetRef, Entry>() {
        override fun removeEldestEntry(eldest: Map.Entry<TargetRef, Entry>) = size > MAX_ENTRIES
    }

    private var targets = emptyMap<TargetRef, FleetTarget>()

    /**
     * Called when the limit of a target changes, with the requests a second that it takes from all
     * hosts together, or `null` if it has no limit any more.
     */
    public var onChange: (target: TargetRef, perSecond: Double?) -> Unit = { _, _ -> }

    /** The number of targets that have a limit. May be read by any thread. */
    @Volatile
    public var limitedCount: Int = 0
        private set

    /** Replaces the known targets. */
    internal fun updateTargets(specs: Collection<FleetTarget>) {
        targets = specs.associateBy { it.ref }
        limitedCount = limitedTargets().size
    }

    /** Records that [target] has stated [limit]. */
    public fun onStated(target: TargetRef, limit: RequestLimit) {
        val entry = entries[target]
        if (entry == null && limit.perSecond == null) return
        val before = entry?.limit
        val after = before?.mergedWith(limit) ?: limit
        if (entry == null) entries[target] = Entry(after) else entry.limit = after
        if (after.perSecond == before?.perSecond) return
        limitedCount = limitedTargets().size
        onChange(target, after.perSecond)
    }

    /** What the known targets have stated last; those that never had a limit are left out. */
    public fun stated(): Map<TargetRef, RequestLimit> =
        entries.filterKeys { it in targets }.mapValues { it.value.limit }

    /** The targets with a limit that may get requests. */
    public fun limitedTargets(): List<LimitedTarget> = entries.mapNotNull { (ref, entry) ->
        val target = targets[ref]?.takeUnless { it.isLeaving }
        val perSecond = entry.limit.perSecond
        if (target == null || perSecond == null) {
            null
        } else {
            LimitedTarget(ref, target.service, perSecond)
        }
    }

    /** The requests a second that a target takes from all hosts together; `null` for no limit. */
    public fun perSecond(target: TargetRef): Double? = entries[target]?.limit?.perSecond

    /** Adds [count] permits to send to [target], which expire at [expiresAtMs]. */
    public fun addPermits(target: TargetRef, count: Int, expiresAtMs: Long) {
        val entry = entries[target] ?: return
        repeat(count) { entry.permits.addLast(SendPermit(expiresAtMs)) }
    }

    /** The number of permits to send to [target]. */
    internal fun permitCount(target: TargetRef, nowMs: Long): Int =
        entries[target]?.usablePermits(nowMs)?.size ?: 0

    /** Whether a request may be sent to [target]. */
    internal fun maySend(target: TargetRef, nowMs: Long): Boolean =
        perSecond(target) == null || permitCount(target, nowMs) > 0

    /** Takes the permit for a request that is sent to [target]; `null` if it has no limit. */
    internal fun takePermit(target: TargetRef, nowMs: Long): SendPermit? =
        if (perSecond(target) == null) {
            null
        } else {
            entries[target]?.usablePermits(nowMs)?.removeFirstOrNull()
        }

    /** Takes back the permit of a request that was not sent after all. */
    internal fun returnPermit(target: TargetRef, permit: SendPermit) {
        entries[target]?.permits?.addFirst(permit)
    }

    /** A permit to send one request to a target before [expiresAtMs]. */
    internal class SendPermit(val expiresAtMs: Long)

    private class Entry(var limit: RequestLimit) {
        val permits = ArrayDeque<SendPermit>()

        fun usablePermits(nowMs: Long): ArrayDeque<SendPermit> {
            permits.removeAll { it.expiresAtMs <= nowMs }
            return permits
        }
    }

    private companion object {
        /** Twice the targets of a large deployment. */
        const val MAX_ENTRIES = 20_000
    }
}
