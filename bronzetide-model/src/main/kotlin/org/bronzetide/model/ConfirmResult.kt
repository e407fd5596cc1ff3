package org.bronzetide.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What became of a confirmed plan. */
@Serializable
public sealed class ConfirmResult {
    /** The plan makes [configuration]. */
    @Serializable
    public data class Applied(val configuration: Configuration) : ConfirmResult()

    /** The same plan took effect before, as [version]. */
    @Serializable
    public data class AlreadyDone(val version: Long) : ConfirmResult()

    /** Objects of the plan changed since; [differences] hold what was planned on and what is. */
    @Serializable
    public data class Conflict(val version: Long, val differences: List<Plan.Change>) :
        ConfirmResult()

    /** Together with changes made since, the plan would make an invalid configuration. */
    @Serializable
    public data class Invalid(@SerialName("faults") val errors: List<ValidationError>) :
        ConfirmResult()
}
