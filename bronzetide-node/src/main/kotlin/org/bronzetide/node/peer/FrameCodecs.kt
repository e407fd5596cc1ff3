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

/** Signals that a peer violated the protocol between nodes. */
internal class PeerProtocolException(message: String) : java.io.IOException(message)

/**
 * Writes [value] as a frame, CBOR preceded by its length in four bytes, and returns the number of
 * bytes sent.
 *
 * @throws PeerProtocolException if the frame would be larger than [MAX_FRAME_BYTES]
 */
internal suspend fun <T> ByteWriteChannel.writeFrame(serializer: KSerializer<T>, value: T): Int {
    val bytes = peerCbor.encodeToByteArray(serializer, value)
    if (bytes.size > MAX_FRAME_BYTES) throw PeerProtocolException("long frame: ${bytes.size} bytes")
    writeInt(bytes.size)
    writeFully(bytes)
    flush()
    return bytes.size + Int.SIZE_BYTES
}

/**
 * Reads one frame and decodes its value.
 *
 * @throws PeerProtocolException if the length of the frame is negative or exceeds [limit] bytes
 */
internal suspend fun <T> ByteReadChannel.readFrame(
    serializer: KSerializer<T>,
    limit: Int = MAX_FRAME_BYTES
): T {
    val size = readInt()
    if (size !in 0..limit) throw PeerProtocolException("frame length $size is not in 0..$limit")
    return peerCbor.decodeFromByteArray(serializer, readByteArray(size))
}
