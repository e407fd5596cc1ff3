package org.bronzetide.coordination

/** A [value] and its [version], which increases with every change. */
public data class Versioned<out T>(val value: T, val version: Long)
