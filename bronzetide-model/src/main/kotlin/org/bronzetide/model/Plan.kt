package org.bronzetide.model

import kotlinx.serialization.Serializable

/** What a confirmed intent would change. */
@Serializable
public data class Plan(
    val planId: String,
    /** The configuration version that the plan was made against. */
    val baseVersion: Long,
    val changes: List<Change>,
    /** What the changes do to running work, for people to read. */
    val effects: List<String>
) {
    /** One object's change; [before] or [after] is absent where it is created or removed. */
    @Serializable
    public data class Change(
        val name: String,
        val before: ConfigObject? = null,
        val after: ConfigObject? = null
    ) {
        /** `create`, `change` or `remove`. */
        public val action: String
            get() = when {
                before == null -> "create"
                after == null -> "remove"
                else -> "change"
            }
    }
}
