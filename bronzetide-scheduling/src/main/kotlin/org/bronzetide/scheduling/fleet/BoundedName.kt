package org.bronzetide.scheduling.fleet

import java.security.MessageDigest

/** Bounds names that hosts compare with each other, whoever has chosen them. */
public object BoundedName {
    /** The longest name that is kept as it is. */
    public const val MAX_CHARS: Int = 256

    /** No name that a target or a caller states can begin so. */
    private const val PREFIX = "\u0000sha256:"

    /**
     * Returns [name], or in place of a long one a hash of it, which all hosts compute alike. Two
     * names are never cut to the same one.
     */
    public fun of(name: String): String {
        if (name.length <= MAX_CHARS) return name
        val digest = MessageDigest.getInstance("SHA-256").digest(name.encodeToByteArray())
        return PREFIX + digest.joinToString("") { "%02x".format(it) }
    }
}
