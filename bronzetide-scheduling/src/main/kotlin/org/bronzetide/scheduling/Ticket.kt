package org.bronzetide.scheduling

import org.bronzetide.coordination.NodeId
import org.bronzetide.model.CallerId
import org.bronzetide.model.CallerLimits
import org.bronzetide.model.TargetId
import org.bronzetide.model.Tier

/** Identifies a ticket by the node that holds the request and its sequence number there. */
public data class TicketId(val node: NodeId, val sequence: Long)

/** A request that waits for a grant. The request itself stays on the node that received it. */
public data class Ticket(
    val id: TicketId,
    val tier: Tier,
    val caller: CallerId,
    /** The operation, by which output lengths are estimated. */
    val operation: String,
    val promptTokens: Int,
    /** The maximum number of output tokens that the request allows. */
    val maxOutputTokens: Int,
    /** A hash of the prompt's prefix, or 0 for no prefix affinity. */
    val prefixHash: Long = 0,
    /** When the response must be complete, in milliseconds on the scheduler's clock. */
    val deadlineAtMs: Long,
    val weight: Double = 1.0,
    val limits: CallerLimits = CallerLimits(),
    /** Whether an earlier arbiter admitted this ticket; rate limits are then not charged again. */
    val wasAdmitted: Boolean = false,
    /** Targets that this request could not reach; used only if no other has free capacity. */
    val avoid: Set<TargetId> = emptySet()
)
