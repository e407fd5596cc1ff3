package org.bronzetide.scheduling.fleet

/** The version of the program that a target runs. Versions have no order. */
@JvmInline
public value class SoftwareVersion(public val name: String)

/**
 * The version that the target states, or one of its own for this start if it states none: nothing
 * tells then which other targets run the same program.
 */
public val FleetTarget.software: SoftwareVersion
    get() = SoftwareVersion(version ?: "$UNSTATED$id/${start.value}")

/** Cannot begin the name of a version that is stated. */
private const val UNSTATED = "\u0000"
