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
    /** The operation, which output lengths are estimated by. */
    val operation: String,
    val promptTokens: Int,
    /** The maximum number of output tokens that the request allows. */
    val maxOutputTokens: Int,
    /** A hash of the beginning of the prompt, or 0 to not track it for prefix affinity. */
    val prefixHash: Long = 0,
    /** The time by which the response must be complete, on the scheduler's clock. */
    val deadlineAtMs: Long,
    val weight: Double = 1.0,
    val limits: CallerLimits = CallerLimits(),
    /** Whether an earlier arbiter admitted this ticket; rate limits are then not charged again. */
    val wasAdmitted: Boolean = false,
    /** Targets that could not be reached for this request. */
    val avoid: Set<TargetId> = emptySet()
)
