package org.bronzetide.node.entry

import java.security.MessageDigest
import java.util.HexFormat

/** SHA-256 digests of bearer keys. Configuration and settings hold keys only in this form. */
object KeyDigest {
    /** The SHA-256 digest of [key] in lowercase hexadecimal. */
    fun of(key: String): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.toByteArray()))

    /** Compares two digests in constant time, so that the time taken reveals nothing of a key. */
    fun matches(first: String, second: String): Boolean =
        MessageDigest.isEqual(first.toByteArray(), second.toByteArray())
}
