package org.bronzetide.model

import kotlinx.serialization.Serializable

/** The changes that an intent makes once it is confirmed. */
@Serializable
public data class Plan(
    val planId: String,
    /** The version of the configuration that the plan is based on. */
    val baseVersion: Long,
    val changes: List<Change>,
    /** The effects of the changes on requests, as text for operators. */
    val effects: List<String>
) {
    /** The change of one object. [before] is `null` if it is created, [after] if it is removed. */
    @Serializable
    public data class Change(
        val name: String,
        val before: ConfigObject? = null,
        val after: ConfigObject? = null
    ) {
        /** The action, which is `create`, `change` or `remove`. */
        public val action: String
            get() = when {
                before == null -> "create"
                after == null -> "remove"
                else -> "change"
            }
    }
}
