package org.bronzetide.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The result of confirming a plan. */
@Serializable
public sealed class ConfirmResult {
    /** The plan was applied and results in [configuration]. */
    @Serializable
    public data class Applied(val configuration: Configuration) : ConfirmResult()

    /** The same plan was already applied, in [version]. */
    @Serializable
    public data class AlreadyDone(val version: Long) : ConfirmResult()

    /** Objects of the plan have changed. [differences] hold their planned and current values. */
    @Serializable
    public data class Conflict(val version: Long, val differences: List<Plan.Change>) :
        ConfirmResult()

    /** The plan would result in an invalid configuration, given later changes. */
    @Serializable
    public data class Invalid(@SerialName("faults") val errors: List<ValidationError>) :
        ConfirmResult()
}
