package org.bronzetide.coordination

import kotlinx.serialization.Serializable

/**
 * Grants each idempotency key at most once, as the owner of some slots and the successor of others.
 *
 * A claim takes effect only after the slot's successor acknowledged it under the same epoch. A
 * successor that has taken over refuses such acknowledgements, so an owner that was paused past its
 * replacement can grant nothing, whatever its clock says. Every granted key is known to whoever
 * takes over.
 *
 * Single-threaded. The caller carries [ClaimRecord] messages between the nodes.
 */
public class KeyAuthority(
    private val self: NodeId,
    private val clock: MonotonicClock,
    private val retentionMs: Long = DEFAULT_RETENTION_MS
) {
    private val entries = HashMap<String, Entry>()
    private val slotStates = HashMap<Int, SlotState>()
    private var map = OwnershipMap()

    /** The number of keys remembered. */
    public val size: Int get() = entries.size

    /** Takes a newer [map]; slots gained without their memory are closed for [retentionMs]. */
    public fun updateMap(next: OwnershipMap) {
        next.slots.forEachIndexed { index, slot -> onSlot(index, map.slots.getOrNull(index), slot) }
        map = next
    }

    /**
     * Begins [claim]. [Step.Reply] is final; [Step.Replicate] must be acknowledged by the successor
     * and passed to [onReplicated] before the claim counts.
     */
    public fun claim(claim: KeyClaim): Step {
        val index = map.slotOf(claim.key)
        val slot = index?.let { map.slots[it] }
        if (slot == null || slot.owner != self) return Step.Reply(ClaimReply.Unavailable)
        val entry = entries[claim.key]?.takeUnless { expired(it) || isSuperseded(it, claim) }
        val state = slotStates[index]
        return when {
            entry != null -> heldStep(entry, claim, slot)
            state != null && isClosed(state) -> Step.Reply(ClaimReply.HistoryUnknown)
            state?.transferPending == true -> Step.Reply(ClaimReply.Unavailable)
            else -> propose(claim, slot)
        }
    }

    /** Takes the successor's answer to a [Step.Replicate] and returns the claimant's reply. */
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

    /** Acts as successor: records [record], or returns `false` if its epoch is not current. */
    public fun acceptReplica(record: ClaimRecord): Boolean {
        val index = map.slotOf(record.claim.key) ?: return false
        val slot = map.slots[index]
        if (slot.epoch != record.epoch || slot.successor != self) return false
        store(record)
        return true
    }

    /** Records how the command of [key] ended. Returns the replica to pass to the successor. */
    public fun finish(key: String, attempt: String, outcome: KeyOutcome.Finished): ClaimRecord? {
        val entry = entries[key]?.takeIf { it.claim.attempt == attempt } ?: return null
        entry.outcome = outcome
        entry.sinceMs = clock.nowMs()
        val epoch = map.slotOf(key)?.let { map.slots[it].epoch } ?: return null
        return ClaimRecord(entry.claim, epoch, outcome)
    }

    /** Frees [key] if [attempt] held it and surely did not run. */
    public fun withdraw(key: String, attempt: String): Boolean {
        val entry = entries[key]?.takeIf { it.claim.attempt == attempt } ?: return false
        if (entry.outcome is KeyOutcome.Finished) return false
        entries.remove(key)
        return true
    }

    /** The memory of the slots that this node owns with [successor], or `null` if it has it all. */
    public fun transferTo(successor: NodeId): Transfer? {
        val slots = slotStates.filter { (index, state) ->
            state.transferPending && map.slots[index].successor == successor
        }
        if (slots.isEmpty()) return null
        val held = entries.values.filter { map.slotOf(it.claim.key) in slots }
        return Transfer(
            slots = slots.map { (index, state) ->
                Transfer.SlotSnapshot(index, map.slots[index].epoch, closedForMs(state))
            },
            records = held.map { ClaimRecord(it.claim, epoch = 0, it.outcome) }
        )
    }

    /** Whether the successor of slot [index], which may be this node, has the slot's memory. */
    public fun isReplicated(index: Int): Boolean {
        val slot = map.slots.getOrNull(index) ?: return false
        val state = slotStates[index] ?: return false
        return if (slot.owner == self) !state.transferPending else state.historyEpoch == slot.epoch
    }

    /** The successors that have yet to receive [transferTo] before this node may grant again. */
    public fun pendingTransfers(): Set<NodeId> = slotStates
        .filterValues { it.transferPending }
        .mapNotNull { (index, _) -> map.slots.getOrNull(index)?.successor }
        .toSet()

    /** Acts as successor: replaces its memory of the slots in [transfer] that are current. */
    public fun acceptTransfer(transfer: Transfer): Boolean {
        val current = transfer.slots.filter { memory ->
            val slot = map.slots.getOrNull(memory.slot)
            slot?.successor == self && slot.epoch == memory.epoch
        }
        val indexes = current.map { it.slot }.toSet()
        entries.keys.removeAll { map.slotOf(it) in indexes }
        transfer.records.filter { map.slotOf(it.claim.key) in indexes }.forEach { store(it) }
        current.forEach { memory ->
            val state = slotStates.getOrPut(memory.slot) { SlotState() }
            state.historyEpoch = memory.epoch
            state.closedUntilMs = clock.nowMs() + memory.closedForMs
        }
        return current.size == transfer.slots.size
    }

    /** Notes that [successor] accepted [transfer]. */
    public fun onTransferred(successor: NodeId, transfer: Transfer) {
        transfer.slots.forEach { memory ->
            val slot = map.slots.getOrNull(memory.slot)
            if (slot?.successor == successor && slot.epoch == memory.epoch) {
                slotStates[memory.slot]?.transferPending = false
            }
        }
    }

    /** Drops finished keys older than the memory, and pending ones of the same age. */
    public fun expire() {
        entries.values.removeAll { expired(it) }
    }

    private fun onSlot(index: Int, before: OwnershipMap.Slot?, after: OwnershipMap.Slot) {
        if (before == after) return
        val state = slotStates.getOrPut(index) { SlotState() }
        val fresh = after.epoch == FIRST_EPOCH
        val continuous = fresh || state.historyEpoch == after.epoch - 1
        when {
            after.owner == self -> {
                if (!continuous) state.closedUntilMs = clock.nowMs() + retentionMs
                state.historyEpoch = after.epoch
                state.transferPending = after.successor != null && !fresh
            }

            else -> {
                state.transferPending = false
                if (fresh && after.successor == self) state.historyEpoch = after.epoch
            }
        }
    }

    private fun closedForMs(state: SlotState): Long =
        if (isClosed(state)) state.closedUntilMs - clock.nowMs() else 0

    private fun heldStep(entry: Entry, claim: KeyClaim, slot: OwnershipMap.Slot): Step {
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
        val settled =
            known?.outcome is KeyOutcome.Finished && record.outcome is KeyOutcome.Pending
        if (settled && known.claim.attempt == record.claim.attempt) return
        entries[record.claim.key] = Entry(record.claim, record.outcome, clock.nowMs())
    }

    private fun expired(entry: Entry): Boolean = clock.nowMs() - entry.sinceMs >= retentionMs

    private fun isClosed(state: SlotState): Boolean = state.closedUntilMs > clock.nowMs()

    private class Entry(
        val claim: KeyClaim,
        var outcome: KeyOutcome,
        var sinceMs: Long,
        var confirmed: Boolean = false
    )

    private class SlotState(
        var closedUntilMs: Long = Long.MIN_VALUE,
        var transferPending: Boolean = false,
        var historyEpoch: Long = 0
    )

    /** What to do with a claim. */
    public sealed class Step {
        /** Send [reply] to the claimant. */
        public data class Reply(val reply: ClaimReply) : Step()

        /** Have [to] acknowledge [message] first; with no successor the claim counts at once. */
        public data class Replicate(val message: KeyAuthority.ClaimRecord, val to: NodeId?) : Step()
    }

    /** A claim and its outcome as the successor records it. */
    @Serializable
    public data class ClaimRecord(val claim: KeyClaim, val epoch: Long, val outcome: KeyOutcome)

    /** The memory of some slots, sent by their owner to a new successor. */
    @Serializable
    public data class Transfer(val slots: List<SlotSnapshot>, val records: List<ClaimRecord>) {
        /** The state of one slot; it grants nothing for the next [closedForMs] milliseconds. */
        @Serializable
        public data class SlotSnapshot(val slot: Int, val epoch: Long, val closedForMs: Long)
    }

    public companion object {
        private const val FIRST_EPOCH = 1L

        /** How long a key is remembered after its last change, in milliseconds. */
        public const val DEFAULT_RETENTION_MS: Long = 600_000
    }
}
