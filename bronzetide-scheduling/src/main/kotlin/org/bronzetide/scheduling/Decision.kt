package org.bronzetide.scheduling

import org.bronzetide.coordination.RefusalReason
import org.bronzetide.model.TargetId

/** What the scheduler decided on a ticket. Each ticket gets one [Grant] or one [Refuse]. */
public sealed class Decision {
    public abstract val ticket: Ticket

    /** The ticket's node may dispatch its request to [target]. */
    public data class Grant(override val ticket: Ticket, val target: TargetId) : Decision()

    /** The request is refused and did not run; [retryAfterMs] says when another try may succeed. */
    public data class Refuse(
        override val ticket: Ticket,
        val reason: RefusalReason,
        val retryAfterMs: Long
    ) : Decision()
}
