package org.bronzetide.edge.state

import org.bronzetide.coordination.Blackboard
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.platform.fleet.Changes
import org.bronzetide.platform.fleet.Listing
import org.bronzetide.platform.fleet.ObjectKinds
import org.bronzetide.platform.fleet.StoredObject
import org.bronzetide.platform.fleet.TargetEntry
import org.bronzetide.scheduling.fleet.TargetRef

/**
 * Keeps the targets on the blackboard.
 *
 * The store removes an entry when its target has left, or when its lease has expired while the
 * store was unavailable. The entry is used for another [REMOVAL_GRACE_MS] milliseconds. A target
 * that is marked as leaving gets no further requests.
 *
 * Entries that turn out to be missing when the store can be reached again may have expired, and
 * have time to return. This host cannot tell an outage of the store from a partition of its own,
 * in which the targets have left, so that time ends before the host counts as stable again.
 *
 * What an incomplete listing lacks does not count as removed, and peers may know it. Without a
 * usable entry it leaves the targets unknown.
 *
 * A store that was restored from a snapshot may lack entries, which have the same time to return,
 * and may hold entries that had been removed, marked as leaving or replaced by another start since
 * the snapshot. Of these, one that had been removed is held back for [OUTAGE_GRACE_MS]
 * milliseconds, in which the store's other writers correct it, and the others until they are
 * written again.
 */
internal class TargetRegistry(
    private val board: Blackboard,
    private val control: ControlLoop,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    /** How long this host must be free of faults before it counts as stable, in milliseconds. */
    private val stabilizationMs: Long
) : StoreWatcher.Observer {
    private val entries = HashMap<String, TargetEntry>()
    private val unusable =
        UnusableEntries(ObjectKinds.TARGETS, "target entry not usable", "target", clock, log)
    private val expiresAtMs = HashMap<String, Long>()
    private val storedObjects = HashMap<String, StoredObject>()

    /** The entries for which there was no room, by name; they are used once others are dropped. */
    private val waiting = LinkedHashMap<String, StoredObject>()

    /** The starts of targets that have ended, and whether that is final. */
    private val endedStarts = object : LinkedHashMap<TargetRef, Boolean>() {
        override fun removeEldestEntry(eldest: Map.Entry<TargetRef, Boolean>) =
            size > MAX_ENDED_STARTS
    }

    /** The entries of a restored store that are not used for now, by name. */
    private val heldBack = HashMap<String, HeldBack>()

    /** Whether the store was restored from a snapshot since the last listing. */
    private var isRestored = false

    /** Whether the store may hold entries that the latest listing lacks. */
    private var isListingIncomplete = false

    /** An entry that is used from [untilMs] on, or when it has another revision. */
    private class HeldBack(val stored: StoredObject, val untilMs: Long)

    /**
     * Until when targets without an entry are used in the first state read after failed calls;
     * `null` once it has been read.
     */
    private var outageGraceEndMs: Long? = null

    /** The stored objects from which the entries were decoded, for peers. */
    @Volatile
    var objects: List<StoredObject> = emptyList()
        private set

    /**
     * Uses the entries that a peer knows, if none have been read from the store yet, or those that
     * an incomplete listing lacks.
     */
    suspend fun seedFromPeer(found: List<StoredObject>) = control.call {
        if (board[BlackboardKeys.areTargetsKnown] && !isListingIncomplete) return@call
        found.filter { it.name !in entries && it.name !in heldBack && it.name !in waiting }
            .forEach(::onEntry)
        log.stateChange("targets read from a peer", "count" to found.size)
        board[BlackboardKeys.areTargetsKnown] = true
        publish()
    }

    override suspend fun onListing(listing: Listing) = control.call {
        if (listing.isComplete) {
            val present = listing.objects.mapTo(HashSet()) { it.name }
            entries.keys.filter { it !in present }.forEach(::onRemoved)
            heldBack.keys.retainAll(present)
            waiting.keys.retainAll(present)
        }
        unusable.onListing(listing.unusableCount)
        if (isRestored) {
            waiting.clear()
            holdBackOutdated(listing.objects)
        }
        isRestored = false
        listing.objects.forEach(::onEntry)
        isListingIncomplete = !listing.isComplete
        if (listing.isComplete || entries.isNotEmpty()) board[BlackboardKeys.areTargetsKnown] = true
        outageGraceEndMs = null
        publish()
    }

    override suspend fun onChanges(changes: Changes) = control.call {
        changes.removedNames.forEach(::onRemoved)
        heldBack.keys.removeAll(changes.removedNames.toSet())
        changes.changed.forEach(::onEntry)
        if (entries.isNotEmpty()) board[BlackboardKeys.areTargetsKnown] = true
        outageGraceEndMs = null
        publish()
    }

    override suspend fun onStoreAvailable(lastFailureAtMs: Long) = control.call {
        val stableAtMs = lastFailureAtMs + stabilizationMs
        outageGraceEndMs = minOf(clock.nowMs() + OUTAGE_GRACE_MS, stableAtMs - STABLE_MARGIN_MS)
    }

    override suspend fun onStoreRestored() = control.call {
        isRestored = true
        if (outageGraceEndMs == null) outageGraceEndMs = clock.nowMs() + OUTAGE_GRACE_MS
    }

    /**
     * Drops the entries that have not returned within their grace period, and uses those that have
     * been held back for long enough.
     */
    fun expire() {
        val nowMs = clock.nowMs()
        val expired = expiresAtMs.filterValues { nowMs >= it }.keys.toList()
        val due = heldBack.filterValues { nowMs >= it.untilMs }
        if (expired.isEmpty() && due.isEmpty()) return
        expired.forEach {
            expiresAtMs.remove(it)
            entries.remove(it)?.let { entry -> endedStarts.putIfAbsent(entry.ref, false) }
            storedObjects.remove(it)
            log.stateChange("target dropped", "target" to it)
        }
        due.forEach { (name, held) ->
            heldBack.remove(name)
            onEntry(held.stored)
        }
        useWaiting()
        publish()
    }

    /** Holds back what a restored store has [listed] of starts that ended since its snapshot. */
    private fun holdBackOutdated(listed: List<StoredObject>) {
        heldBack.clear()
        val nowMs = clock.nowMs()
        listed.forEach { stored ->
            val entry = ObjectKinds.decodeTarget(stored)?.takeUnless { it.isLeaving }
                ?: return@forEach
            val known = entries[entry.id]
            val isLeaving = known != null && known.isLeaving && known.ref == entry.ref
            val isFinal = isLeaving || (endedStarts[entry.ref] ?: return@forEach)
            heldBack[entry.id] =
                HeldBack(stored, if (isFinal) Long.MAX_VALUE else nowMs + OUTAGE_GRACE_MS)
            log.stateChange(
                "target entry held back",
                "target" to entry.id,
                "revision" to stored.revision,
                "forMs" to if (isFinal) "until written" else OUTAGE_GRACE_MS
            )
        }
        if (heldBack.isNotEmpty()) control.timers.after(OUTAGE_GRACE_MS) { expire() }
    }

    private fun onEntry(stored: StoredObject) {
        if (heldBack[stored.name]?.stored?.revision == stored.revision) return
        heldBack.remove(stored.name)
        val entry = ObjectKinds.decodeTarget(stored)
        if (entry == null) {
            unusable.onEntry(stored)
            onRemoved(stored.name)
            return
        }
        if (entry.id !in entries && entries.size >= MAX_TARGETS) return onFull(stored)
        waiting.remove(entry.id)
        expiresAtMs.remove(entry.id)
        storedObjects[entry.id] = stored
        val known = entries.put(entry.id, entry)
        if (known != null && known.ref != entry.ref) endedStarts[known.ref] = true
        endedStarts.remove(entry.ref)
        if (known != entry) {
            log.stateChange(
                "target changed",
                "target" to entry.id,
                "service" to entry.service,
                "address" to entry.address.toString(),
                "leaving" to entry.isLeaving,
                "revision" to stored.revision
            )
        }
    }

    private fun onFull(stored: StoredObject) {
        if (waiting.isEmpty()) log.stateChange("too many targets", "target" to stored.name)
        if (stored.name in waiting || waiting.size < MAX_WAITING) waiting[stored.name] = stored
    }

    private fun useWaiting() {
        val next = waiting.values.take(MAX_TARGETS - entries.size)
        next.forEach { waiting.remove(it.name) }
        next.forEach(::onEntry)
    }

    private fun onRemoved(name: String) {
        waiting.remove(name)
        val known = entries[name] ?: return
        val nowMs = clock.nowMs()
        // An entry that is missing after an outage may only be late.
        if (known.isLeaving || outageGraceEndMs == null) endedStarts[known.ref] = known.isLeaving
        val graceEndMs = if (known.isLeaving) nowMs else graceEndMs(nowMs)
        val expiryMs = expiresAtMs.getOrPut(name) { graceEndMs }
        control.timers.after(expiryMs - nowMs) { expire() }
        log.stateChange(
            "target entry removed",
            "target" to name,
            "usedForMs" to expiryMs - nowMs,
            "leaving" to known.isLeaving,
            "afterOutage" to (outageGraceEndMs != null)
        )
    }

    private fun graceEndMs(nowMs: Long): Long =
        outageGraceEndMs?.coerceAtLeast(nowMs) ?: (nowMs + REMOVAL_GRACE_MS)

    private fun publish() {
        objects = storedObjects.filterKeys { it in entries }.values.toList()
        board[BlackboardKeys.targets] = entries.toMap()
    }

    private companion object {
        /** Well below 2 s, the bound on drains: a removed target may be leaving unannounced. */
        const val REMOVAL_GRACE_MS = 1_200L

        /** Entries that expired during an outage return within about two seconds of its end. */
        const val OUTAGE_GRACE_MS = 2_200L

        /** For requests that are on their way to a target, which may include a connection. */
        const val STABLE_MARGIN_MS = 300L

        /**
         * Above the 10,000 targets of the largest deployment and as many successors, whose entries
         * overlap when all are restarted.
         */
        const val MAX_TARGETS = 24_000

        /** As many again; a listing finds those beyond. */
        const val MAX_WAITING = 24_000

        /** Several times the targets of a large deployment that end within an hour. */
        const val MAX_ENDED_STARTS = 2_000
    }
}
