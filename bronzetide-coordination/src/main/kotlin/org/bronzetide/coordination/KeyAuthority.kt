package org.bronzetide.coordination

import kotlinx.serialization.Serializable

/**
 * Grants each idempotency key at most once. A node acts as the owner of some slots and as the
 * successor of others.
 *
 * A claim takes effect only after the slot's successor has acknowledged it under the same epoch. A
 * successor that has taken over rejects records of the former epoch, so an owner that was paused
 * while it was replaced cannot grant anything, regardless of its clock. A node that takes over
 * therefore knows every granted key.
 *
 * Not thread-safe. The user of the class carries each [ClaimRecord] from owner to successor.
 */
public class KeyAuthority(
    private val self: NodeId,
    private val clock: MonotonicClock,
    private val retentionMs: Long = DEFAULT_RETENTION_MS
) {
    private val entries = HashMap<String, Entry>()
    private val slotStates = HashMap<Int, SlotState>()
    private var map = OwnershipMap()

    /** The number of retained keys. */
    public val size: Int get() = entries.size

    /**
     * Adopts [next], a newer ownership map.
     *
     * A slot that this node gains without its claim history grants nothing for the retention
     * period, since keys granted by earlier owners are unknown here for that long.
     */
    public fun updateMap(next: OwnershipMap) {
        next.slots.forEachIndexed { index, slot -> onSlot(index, map.slots.getOrNull(index), slot) }
        map = next
    }

    /**
     * Handles [claim] as the owner of its slot.
     *
     * [Step.Reply] is final. With [Step.Replicate] the claim takes effect only after the successor
     * has acknowledged the record and [onReplicated] has been called.
     */
    public fun claim(claim: KeyClaim): Step {
        val index = map.slotOf(claim.key)
        val slot = index?.let { map.slots[it] }
        if (slot == null || slot.owner != self) return Step.Reply(ClaimReply.Unavailable)
        val entry = entries[claim.key]?.takeUnless { isExpired(it) || isSuperseded(it, claim) }
        val state = slotStates[index]
        return when {
            entry != null -> stepForHeldKey(entry, claim, slot)
            state != null && isClosed(state) -> Step.Reply(ClaimReply.HistoryUnknown)
            state?.transferPending == true -> Step.Reply(ClaimReply.Unavailable)
            else -> propose(claim, slot)
        }
    }

    /** Handles the successor's response to a [Step.Replicate]. Returns the claimant's reply. */
    public fun onReplicated(record: ClaimRecord, accepted: Boolean): ClaimReply {
        val entry = entries[record.claim.key]
        val current = map.slotOf(record.claim.key)?.let { map.slots[it] }
        val valid = accepted && current?.epoch == record.epoch && current.owner == self
        if (entry == null || entry.claim.attempt != record.claim.attempt) {
            return ClaimReply.Unavailable
        }
        if (!valid) {
            if (!entry.confirmed) entries.remove(record.claim.key)
            return ClaimReply.Unavailable
        }
        entry.confirmed = true
        return ClaimReply.Granted(record.epoch)
    }

    /** Stores [record] as successor. Returns `false` if its epoch is not current. */
    public fun acceptReplica(record: ClaimRecord): Boolean {
        val index = map.slotOf(record.claim.key) ?: return false
        val slot = map.slots[index]
        if (slot.epoch != record.epoch || slot.successor != self) return false
        store(record)
        return true
    }

    /**
     * Records [outcome] of the command of [key].
     *
     * Returns the record to send to the successor, or `null` if [attempt] does not hold the key.
     */
    public fun finish(key: String, attempt: String, outcome: KeyOutcome.Finished): ClaimRecord? {
        val entry = entries[key]?.takeIf { it.claim.attempt == attempt } ?: return null
        entry.outcome = outcome
        entry.changedAtMs = clock.nowMs()
        val epoch = map.slotOf(key)?.let { map.slots[it].epoch } ?: return null
        return ClaimRecord(entry.claim, epoch, outcome)
    }

    /**
     * Releases [key] if [attempt] holds it and has not finished. Returns whether it was released.
     *
     * To be called only for an attempt that certainly did not run and never will.
     */
    public fun withdraw(key: String, attempt: String): Boolean {
        val entry = entries[key]?.takeIf { it.claim.attempt == attempt } ?: return false
        if (entry.outcome is KeyOutcome.Finished) return false
        entries.remove(key)
        return true
    }

    /** Returns the claim history that [successor] still lacks, or `null` if it has all of it. */
    public fun transferTo(successor: NodeId): Transfer? {
        val slots = slotStates.filter { (index, state) ->
            state.transferPending && map.slots[index].successor == successor
        }
        if (slots.isEmpty()) return null
        val transferred = entries.values.filter { map.slotOf(it.claim.key) in slots }
        return Transfer(
            slots = slots.map { (index, state) ->
                Transfer.SlotSnapshot(index, map.slots[index].epoch, closedForMs(state))
            },
            records = transferred.map { ClaimRecord(it.claim, epoch = 0, it.outcome) }
        )
    }

    /** Whether the successor of slot [index], which may be this node, has its claim history. */
    public fun isReplicated(index: Int): Boolean {
        val slot = map.slots.getOrNull(index) ?: return false
        val state = slotStates[index] ?: return false
        return if (slot.owner == self) !state.transferPending else state.historyEpoch == slot.epoch
    }

    /** Returns the successors that must accept [transferTo] before this node may grant again. */
    public fun pendingTransfers(): Set<NodeId> = slotStates
        .filterValues { it.transferPending }
        .mapNotNull { (index, _) -> map.slots.getOrNull(index)?.successor }
        .toSet()

    /**
     * Replaces, as successor, the claim history of the slots in [transfer] whose epoch is current.
     *
     * Returns whether the history of all slots in [transfer] was replaced.
     */
    public fun acceptTransfer(transfer: Transfer): Boolean {
        val current = transfer.slots.filter { snapshot ->
            val slot = map.slots.getOrNull(snapshot.slot)
            slot?.successor == self && slot.epoch == snapshot.epoch
        }
        val indexes = current.map { it.slot }.toSet()
        entries.keys.removeAll { map.slotOf(it) in indexes }
        transfer.records.filter { map.slotOf(it.claim.key) in indexes }.forEach { store(it) }
        current.forEach { snapshot ->
            val state = slotStates.getOrPut(snapshot.slot) { SlotState() }
            state.historyEpoch = snapshot.epoch
            state.closedUntilMs = clock.nowMs() + snapshot.closedForMs
        }
        return current.size == transfer.slots.size
    }

    /** Records that [successor] has accepted [transfer]. */
    public fun onTransferred(successor: NodeId, transfer: Transfer) {
        transfer.slots.forEach { snapshot ->
            val slot = map.slots.getOrNull(snapshot.slot)
            if (slot?.successor == successor && slot.epoch == snapshot.epoch) {
                slotStates[snapshot.slot]?.transferPending = false
            }
        }
    }

    /** Removes keys whose retention period is over, finished or pending. */
    public fun expire() {
        entries.values.removeAll { isExpired(it) }
    }

    private fun onSlot(index: Int, before: OwnershipMap.Slot?, after: OwnershipMap.Slot) {
        if (before == after) return
        val state = slotStates.getOrPut(index) { SlotState() }
        val isInitial = after.epoch == FIRST_EPOCH
        val hasHistory = isInitial || state.historyEpoch == after.epoch - 1
        when {
            after.owner == self -> {
                if (!hasHistory) state.closedUntilMs = clock.nowMs() + retentionMs
                state.historyEpoch = after.epoch
                state.transferPending = after.successor != null && !isInitial
            }

            else -> {
                state.transferPending = false
                if (isInitial && after.successor == self) state.historyEpoch = after.epoch
            }
        }
    }

    private fun closedForMs(state: SlotState): Long =
        if (isClosed(state)) state.closedUntilMs - clock.nowMs() else 0

    private fun stepForHeldKey(entry: Entry, claim: KeyClaim, slot: OwnershipMap.Slot): Step {
        val sameAttempt = entry.claim.attempt == claim.attempt
        if (sameAttempt && entry.outcome is KeyOutcome.Pending) {
            return Step.Replicate(ClaimRecord(claim, slot.epoch, entry.outcome), slot.successor)
        }
        val matches = entry.claim.fingerprint == claim.fingerprint
        return Step.Reply(ClaimReply.Held(entry.outcome, matches))
    }

    private fun isSuperseded(entry: Entry, claim: KeyClaim): Boolean =
        entry.outcome is KeyOutcome.Pending && entry.claim.attempt in claim.superseded

    private fun propose(claim: KeyClaim, slot: OwnershipMap.Slot): Step {
        val entry = Entry(claim, KeyOutcome.Pending, clock.nowMs())
        entries[claim.key] = entry
        return Step.Replicate(ClaimRecord(claim, slot.epoch, entry.outcome), slot.successor)
    }

    private fun store(record: ClaimRecord) {
        val known = entries[record.claim.key]
        val isFinished =
            known?.outcome is KeyOutcome.Finished && record.outcome is KeyOutcome.Pending
        if (isFinished && known.claim.attempt == record.claim.attempt) return
        entries[record.claim.key] = Entry(record.claim, record.outcome, clock.nowMs())
    }

    private fun isExpired(entry: Entry): Boolean = clock.nowMs() - entry.changedAtMs >= retentionMs

    private fun isClosed(state: SlotState): Boolean = state.closedUntilMs > clock.nowMs()

    private class Entry(
        val claim: KeyClaim,
        var outcome: KeyOutcome,
        var changedAtMs: Long,
        var confirmed: Boolean = false
    )

    private class SlotState(
        var closedUntilMs: Long = Long.MIN_VALUE,
        var transferPending: Boolean = false,
        var historyEpoch: Long = 0
    )

    /** The next step in handling a claim. */
    public sealed class Step {
        /** [reply] is to be sent to the claimant. */
        public data class Reply(val reply: ClaimReply) : Step()

        /** The successor [to] must acknowledge [message] first. `null` if there is none. */
        public data class Replicate(val message: KeyAuthority.ClaimRecord, val to: NodeId?) : Step()
    }

    /** A claim and its outcome as replicated to the successor. */
    @Serializable
    public data class ClaimRecord(val claim: KeyClaim, val epoch: Long, val outcome: KeyOutcome)

    /** The claim history of some slots, sent by their owner to a new successor. */
    @Serializable
    public data class Transfer(val slots: List<SlotSnapshot>, val records: List<ClaimRecord>) {
        /** The state of one slot, which grants nothing for the next [closedForMs] milliseconds. */
        @Serializable
        public data class SlotSnapshot(val slot: Int, val epoch: Long, val closedForMs: Long)
    }

    public companion object {
        private const val FIRST_EPOCH = 1L

        /** How long a key is retained after its last change, in milliseconds. */
        public const val DEFAULT_RETENTION_MS: Long = 600_000
    }
}
