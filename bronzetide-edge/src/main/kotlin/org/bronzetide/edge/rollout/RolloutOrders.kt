package org.bronzetide.edge.rollout

import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.state.StoreWatcher
import org.bronzetide.edge.state.UnusableEntries
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.platform.fleet.Changes
import org.bronzetide.platform.fleet.Listing
import org.bronzetide.platform.fleet.ObjectKinds
import org.bronzetide.platform.fleet.RolloutEntry
import org.bronzetide.platform.fleet.RolloutStatus
import org.bronzetide.platform.fleet.StoreEra
import org.bronzetide.platform.fleet.StoredObject
import org.bronzetide.scheduling.fleet.RolloutDecision
import org.bronzetide.scheduling.fleet.RolloutOrder
import org.bronzetide.scheduling.fleet.RolloutPolicy
import org.bronzetide.scheduling.fleet.ServiceVersion

/**
 * Passes the orders that operators have stored, and their status, to [policy].
 *
 * An order that disappears stays in force: the store may have been restored from a snapshot before
 * it. For the same reason an order that was replaced before counts as given again only if the store
 * has not been restored since. The state is confined to the control thread.
 */
internal class RolloutOrders(
    private val control: ControlLoop,
    private val clock: MonotonicClock,
    private val policy: RolloutPolicy,
    private val log: DecisionLog,
    /** Called on the control thread when all orders of the store have been read. */
    private val onOrdersRead: () -> Unit = {}
) : StoreWatcher.Observer {
    private class Known(val era: StoreEra?, val stored: StoredOrder)

    private val known = HashMap<String, Known>()
    private val unusable =
        UnusableEntries(ObjectKinds.ROLLOUTS, "rollout order not usable", "name", clock, log)

    /** The current orders that are in the store, as this host last saw them. */
    val current: List<StoredOrder> get() = known.values.map { it.stored }

    override suspend fun onListing(listing: Listing) = control.call {
        if (listing.isComplete) {
            val names = listing.objects.mapTo(HashSet()) { it.name }
            known.values.removeIf { it.stored.name !in names }
        }
        onRead(listing.objects)
    }

    override suspend fun onChanges(changes: Changes) = control.call {
        changes.removedNames.forEach(::onMissing)
        onRead(changes.changed)
    }

    private fun onRead(objects: List<StoredObject>) {
        objects.forEach(::onObject)
        onOrdersRead()
    }

    /** The object [name] is not in the store at present; what is known of its order stays. */
    fun onMissing(name: String) {
        known.values.removeIf { it.stored.name == name }
    }

    /**
     * Takes over [stored] as read from the store. Returns its order, or `null` if it is not usable
     * or outdated. Must be called on the control thread.
     */
    fun onObject(stored: StoredObject): StoredOrder? {
        val entry = ObjectKinds.decodeRollout(stored)
        if (entry == null) {
            unusable.onEntry(stored)
            return null
        }
        val nowMs = clock.nowMs()
        val order = RolloutOrder(entry.service, ServiceVersion(entry.to), entry.durationMs)
        val before = known[entry.service]
        val isNew = policy.orders.none { it == order }
        val mayRepeat = before != null && before.era == stored.era
        val elapsedMs = entry.status?.elapsedMs ?: 0
        if (!policy.start(order, elapsedMs, nowMs, mayRepeat)) {
            log.stateChange(
                "rollout order outdated",
                "service" to entry.service,
                "to" to entry.to,
                "revision" to stored.revision
            )
            return null
        }
        if (isNew) {
            log.stateChange(
                "rollout ordered",
                "service" to entry.service,
                "to" to entry.to,
                "durationMs" to entry.durationMs,
                "elapsedMs" to elapsedMs,
                "revision" to stored.revision
            )
        }
        val found = StoredOrder(stored.name, order, entry.status)
        known[entry.service] = Known(stored.era, found)
        decisionIn(entry)?.let { record(order, it) }
        return found
    }

    private fun record(order: RolloutOrder, decision: RolloutDecision) {
        val isFirst = !policy.isRecorded(order.service)
        policy.onRecorded(order, decision)
        if (isFirst) {
            log.stateChange(
                "rollout decided",
                "service" to order.service,
                "to" to order.to.name,
                "decision" to decision.stateName,
                "evidence" to (decision as? RolloutDecision.RolledBack)?.evidence,
                "elapsedMs" to policy.elapsedMs(order.service, clock.nowMs())
            )
        }
    }

    private fun decisionIn(entry: RolloutEntry): RolloutDecision? = when (entry.status?.state) {
        RolloutStatus.State.COMPLETED -> RolloutDecision.Completed

        RolloutStatus.State.ROLLED_BACK ->
            RolloutDecision.RolledBack(entry.status?.reason.orEmpty())

        RolloutStatus.State.ACTIVE, null -> null
    }
}

/** An order in the store under the object [name], with its status there if it has one. */
internal data class StoredOrder(
    val name: String,
    val order: RolloutOrder,
    val status: RolloutStatus?
)

/** The name of the decision in the log. */
internal val RolloutDecision.stateName: String
    get() = when (this) {
        RolloutDecision.Undecided -> "undecided"
        RolloutDecision.Completed -> "completed"
        is RolloutDecision.RolledBack -> "rolled back"
    }
