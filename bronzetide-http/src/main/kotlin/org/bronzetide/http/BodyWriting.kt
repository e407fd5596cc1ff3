package org.bronzetide.http

import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully

/**
 * The size of the copy of a body in the output, in bytes. No budget counts these copies, and there
 * are as many at once as there are slow readers. The socket writes segments of this size in any
 * case, so larger parts save no system calls.
 */
private const val PART_BYTES = 8_192

/** Writes [body], flushed part by part, so that the output holds a copy of one part at most. */
internal suspend fun ByteWriteChannel.writeInParts(body: ByteArray) {
    for (start in body.indices step PART_BYTES) {
        if (start > 0) flush()
        writeFully(body, start, minOf(start + PART_BYTES, body.size))
    }
}
