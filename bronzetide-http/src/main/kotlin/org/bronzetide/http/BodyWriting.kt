package org.bronzetide.http

import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully

/** The size of the copy of a large body in the output, in bytes. */
private const val PART_BYTES = 65_536

/** Writes [body], flushed part by part, so that the output never holds a copy of a large one. */
internal suspend fun ByteWriteChannel.writeInParts(body: ByteArray) {
    for (start in body.indices step PART_BYTES) {
        if (start > 0) flush()
        writeFully(body, start, minOf(start + PART_BYTES, body.size))
    }
}
