package org.bronzetide.scheduling

import org.bronzetide.coordination.NodeId
import org.bronzetide.model.CallerId
import org.bronzetide.model.CallerLimits
import org.bronzetide.model.TargetId
import org.bronzetide.model.Tier

/** Names a ticket: the node that keeps the request, and its sequence number there. */
public data class TicketId(val node: NodeId, val sequence: Long)

/** A request's wish for a turn. The request itself stays with the node that received it. */
public data class Ticket(
    val id: TicketId,
    val tier: Tier,
    val caller: CallerId,
    /** The operation, by which output lengths are estimated. */
    val operation: String,
    val promptTokens: Int,
    /** The most output tokens that the request allows. */
    val maxOutputTokens: Int,
    /** A digest of the prompt's beginning, or 0 if none is worth remembering. */
    val prefixHash: Long = 0,
    /** The time by which the answer must be complete, on the scheduler's clock. */
    val deadlineAtMs: Long,
    val weight: Double = 1.0,
    val limits: CallerLimits = CallerLimits(),
    /** Whether an earlier arbiter took this ticket; it is then not charged to limits again. */
    val wasAdmitted: Boolean = false,
    /** Targets that could not be reached for this request. */
    val avoid: Set<TargetId> = emptySet()
)
