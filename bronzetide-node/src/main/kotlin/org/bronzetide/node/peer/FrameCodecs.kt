package org.bronzetide.node.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.serialization.KSerializer

/** The largest frame that a peer may send, in bytes. */
internal const val MAX_FRAME_BYTES = 4_000_000

/** A peer broke the protocol between nodes. */
internal class PeerProtocolException(message: String) : java.io.IOException(message)

/** Writes [value] with its length and returns the bytes sent. */
internal suspend fun <T> ByteWriteChannel.writeFrame(serializer: KSerializer<T>, value: T): Int {
    val bytes = peerCbor.encodeToByteArray(serializer, value)
    if (bytes.size > MAX_FRAME_BYTES) throw PeerProtocolException("frame of ${bytes.size} bytes")
    writeInt(bytes.size)
    writeFully(bytes)
    flush()
    return bytes.size + Int.SIZE_BYTES
}

/**
 * Reads one value.
 *
 * @throws PeerProtocolException if the frame is over [MAX_FRAME_BYTES] or [limit].
 */
internal suspend fun <T> ByteReadChannel.readFrame(
    serializer: KSerializer<T>,
    limit: Int = MAX_FRAME_BYTES
): T {
    val size = readInt()
    if (size !in 0..limit) throw PeerProtocolException("frame of $size bytes over $limit")
    return peerCbor.decodeFromByteArray(serializer, readByteArray(size))
}
