package org.bronzetide.node.entry

import java.security.MessageDigest
import java.util.HexFormat

/** Digests of bearer keys, which are the only form in which keys are kept. */
object KeyDigest {
    /** The SHA-256 digest of [key] in lower-case hexadecimal. */
    fun of(key: String): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.toByteArray()))

    /** Compares two digests in constant time. */
    fun matches(first: String, second: String): Boolean =
        MessageDigest.isEqual(first.toByteArray(), second.toByteArray())
}
