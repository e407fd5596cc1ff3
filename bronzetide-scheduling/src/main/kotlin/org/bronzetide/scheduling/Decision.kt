package org.bronzetide.scheduling

import org.bronzetide.coordination.RefusalReason
import org.bronzetide.model.TargetId

/** The decision of the scheduler on a ticket, either a [Grant] or a [Refuse]. */
public sealed class Decision {
    public abstract val ticket: Ticket

    /** The ticket's node may dispatch its request to [target]. */
    public data class Grant(override val ticket: Ticket, val target: TargetId) : Decision()

    /** The request is refused and did not run; a retry may succeed after [retryAfterMs] ms. */
    public data class Refuse(
        override val ticket: Ticket,
        val reason: RefusalReason,
        val retryAfterMs: Long
    ) : Decision()
}
