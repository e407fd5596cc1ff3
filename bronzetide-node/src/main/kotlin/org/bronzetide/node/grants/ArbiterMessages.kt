package org.bronzetide.node.grants

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.bronzetide.coordination.RefusalReason
import org.bronzetide.model.CallerId
import org.bronzetide.model.CallerLimits
import org.bronzetide.model.PoolId
import org.bronzetide.model.TargetId
import org.bronzetide.scheduling.ReleaseOutcome

/** A part of a pool whose requests are scheduled by one arbiter. */
@Serializable
internal data class PoolShard(@CborLabel(1) val pool: PoolId, @CborLabel(2) val index: Int = 0) {
    /** The name that is hashed to choose the node of the arbiter. */
    val placementName: String get() = "arbiter/${pool.value}/$index"
}

/**
 * A ticket as it is sent to the arbiter. Times are relative to the receipt, because the clocks of
 * two hosts cannot be compared.
 */
@Serializable
internal data class WireTicket(
    @CborLabel(1) val sequence: Long,
    @CborLabel(2) val tier: Int,
    @CborLabel(3) val caller: CallerId,
    @CborLabel(4) val operation: String,
    @CborLabel(5) val promptTokens: Int,
    @CborLabel(6) val maxOutputTokens: Int,
    @CborLabel(7) val prefixHash: Long = 0,
    @CborLabel(8) val remainingMs: Long,
    @CborLabel(9) val weight: Double = 1.0,
    @CborLabel(10) val limits: CallerLimits? = null,
    /** Whether the ticket was sent before, to an earlier arbiter or in a message that was lost. */
    @CborLabel(11) val isResent: Boolean = false,
    @CborLabel(12) val avoid: List<TargetId> = emptyList(),
    /** The target on which the request already runs, or `null` while it waits. */
    @CborLabel(13) val runningOn: TargetId? = null
)

/** A decision as it is sent to the node of the ticket: either a target or a refusal. */
@Serializable
internal data class WireDecision(
    @CborLabel(1) val sequence: Long,
    @CborLabel(2) val target: TargetId? = null,
    @CborLabel(3) val reason: RefusalReason? = null,
    @CborLabel(4) val retryAfterMs: Long = 0
)

/** The end of a ticket. The [outcome] is `null` if the ticket was withdrawn before its grant. */
@Serializable
internal data class WireRelease(
    @CborLabel(1) val sequence: Long,
    @CborLabel(2) val outcome: ReleaseOutcome? = null,
    @CborLabel(3) val promptTokens: Int = 0,
    @CborLabel(4) val outputTokens: Int = 0,
    @CborLabel(5) val firstTokenMs: Long = 0,
    @CborLabel(6) val durationMs: Long = 0
)
