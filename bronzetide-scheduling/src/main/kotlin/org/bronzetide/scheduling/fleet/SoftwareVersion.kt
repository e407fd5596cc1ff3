package org.bronzetide.scheduling.fleet

/** The version of the program that a target runs. Versions have no order. */
@JvmInline
public value class SoftwareVersion(public val name: String) {
    public companion object {
        /** Cannot begin the name of a version that is stated. */
        private const val UNSTATED = "\u0000"

        /**
         * The version that [target] has [stated], or one of its own for this start if it states
         * none: nothing tells then which other targets run the same program. A long name is
         * replaced by a hash, as the versions that hosts tell each other must fit into a message.
         */
        public fun of(stated: String?, target: TargetRef): SoftwareVersion {
            val name = stated ?: "$UNSTATED${target.id}/${target.start.value}"
            return SoftwareVersion(BoundedName.of(name))
        }
    }
}

/** The version that the target runs, see [SoftwareVersion.of]. */
public val FleetTarget.software: SoftwareVersion get() = SoftwareVersion.of(version, ref)
