package org.bronzetide.node.idempotency

import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.bronzetide.coordination.Backoff
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.Document
import org.bronzetide.coordination.Member
import org.bronzetide.coordination.MemberState
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.NodeId
import org.bronzetide.coordination.OwnershipMap
import org.bronzetide.coordination.OwnershipPlanner
import org.bronzetide.model.JsonFormats
import org.bronzetide.node.documents.toDocument
import org.bronzetide.node.documents.toOwnershipMap
import org.bronzetide.platform.ConditionalUpdate
import org.bronzetide.platform.ObjectStore
import org.bronzetide.platform.ReadResult

/**
 * Keeps the ownership map of the idempotency keys consistent with the cluster's members. The map is
 * one object in the store and is changed by conditional updates only.
 */
internal class OwnershipReconciler(
    private val self: NodeId,
    private val slotCount: Int,
    private val store: ObjectStore,
    private val control: ControlLoop,
    private val clock: MonotonicClock,
    private val members: () -> List<Member>,
    private val currentDocument: () -> Document,
    private val publish: (Document) -> Unit,
    private val isReplicated: (Int) -> Boolean
) {
    private val startedAtMs = clock.nowMs()
    private val backoff = Backoff(FIRST_RETRY_MS, MAX_RETRY_MS, Random(self.hashCode()))
    private val updates = ConditionalUpdate(store) { delay(backoff.nextDelayMs()) }

    /** Starts to check the map every [CHECK_INTERVAL_MS], with backoff after a failure. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                if (reconcileOnce()) backoff.reset() else delay(backoff.nextDelayMs())
                delay(CHECK_INTERVAL_MS)
            }
        }
    }

    /**
     * Writes the changes of the map that are this node's to make. Returns `false` if the map could
     * not be written, because another write came first or the store did not respond.
     */
    suspend fun reconcileOnce(): Boolean {
        val (document, next) = control.call { currentDocument().let { it to plan(it) } }
        if (next == null) return true
        if (document.version == 0L && !refreshFromStore()) return false
        val text = JsonFormats.wire.encodeToString(OwnershipMap.serializer(), next)
        return when (val result = updates.write(OBJECT_KEY, text, document.version)) {
            is ConditionalUpdate.Result.Done -> {
                control.call { publish(next.toDocument(result.version)) }
                true
            }

            else -> {
                refreshFromStore()
                false
            }
        }
    }

    private fun plan(document: Document): OwnershipMap? {
        val view = members()
        val eligible = view.filter { it.state == MemberState.ALIVE }.map { it.id }.toSet()
        if (document.version == 0L) {
            return OwnershipMap.initial(slotCount, eligible.sorted()).takeIf { self in eligible }
        }
        val map = document.toOwnershipMap()
        val known = view.map { it.id }.toSet()
        val referenced = map.slots.flatMap { listOfNotNull(it.owner, it.successor) }.toSet()
        val dead =
            view.filter { it.state == MemberState.DEAD }.map { it.id }.toSet() +
                (referenced - known).takeIf { isSettled() }.orEmpty()
        val suspected = view.filter { it.state == MemberState.SUSPECT }.map { it.id }.toSet()
        return OwnershipPlanner(self, eligible, dead + suspected, dead, isReplicated).plan(map)
    }

    /**
     * Whether this node has run for [SETTLE_MS], long enough to have met every live member. Before
     * that, a slot holder that is not among the members may be alive and is not treated as dead.
     */
    private fun isSettled(): Boolean = clock.nowMs() - startedAtMs >= SETTLE_MS

    /** Publishes the stored map in the cluster. Returns `true` only if the store holds no map. */
    private suspend fun refreshFromStore(): Boolean = when (val read = store.read(OBJECT_KEY)) {
        is ReadResult.Found -> {
            val map = JsonFormats.wire.decodeFromString(
                OwnershipMap.serializer(),
                read.stored.value
            )
            control.call { publish(map.toDocument(read.stored.version)) }
            false
        }

        is ReadResult.Missing -> true

        else -> false
    }

    private companion object {
        const val OBJECT_KEY = "bronzetide/ownership"
        const val CHECK_INTERVAL_MS = 300L
        const val SETTLE_MS = 15_000L
        const val FIRST_RETRY_MS = 100L
        const val MAX_RETRY_MS = 2_000L
    }
}
