package org.bronzetide.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readLineStrict
import java.io.EOFException
import java.io.IOException

/** How the end of a message's body is found. */
public sealed class Framing {
    /** The body has [bytes] bytes; 0 for none. */
    public data class Length(val bytes: Long) : Framing()

    /** The body comes in chunks and ends with an empty one. */
    public data object Chunked : Framing()

    /** The body ends with its connection. */
    public data object UntilClose : Framing()

    public companion object {
        /**
         * The framing that [headers] state, [default] where they state none.
         *
         * @throws MalformedMessageException if they contradict each other.
         */
        public fun of(headers: HeaderList, default: Framing): Framing {
            val lengths = headers.all("Content-Length").flatMap { it.split(',') }
                .map { it.trim() }.distinct()
            val codings = headers.all("Transfer-Encoding")
            if (codings.isEmpty()) return if (lengths.isEmpty()) default else length(lengths)
            if (lengths.isNotEmpty()) throw MalformedMessageException("length and chunks at once")
            if (codings.size > 1 || !codings[0].trim().equals("chunked", ignoreCase = true)) {
                throw MalformedMessageException("transfer coding '${codings.joinToString()}'")
            }
            return Chunked
        }

        private fun length(values: List<String>): Length {
            val isNumber = values.size == 1 &&
                values[0].isNotEmpty() &&
                values[0].all { it in '0'..'9' }
            val bytes = if (isNumber) values[0].toLongOrNull() else null
            return Length(bytes ?: throw MalformedMessageException("length '$values'"))
        }
    }
}

/** A message breaks the rules of HTTP/1.1. */
public class MalformedMessageException(message: String) : IOException(message)

/** Reads the body of one message from [input], piece by piece. */
public class MessageBody(private val input: ByteReadChannel, private val framing: Framing) {
    private var remaining = (framing as? Framing.Length)?.bytes ?: 0L
    private var isInChunk = false
    private val buffer = ByteArray(PIECE_BYTES)

    /** Whether the body was read to its end. */
    public var isComplete: Boolean = framing is Framing.Length && remaining == 0L
        private set

    /**
     * Waits for more of the body and returns what is there, or `null` at its end.
     *
     * @throws IOException if the connection ends before the body does.
     */
    public suspend fun readAvailable(): ByteArray? {
        if (isComplete) return null
        return when (framing) {
            is Framing.Length -> readCounted()?.also { isComplete = remaining == 0L }
            is Framing.Chunked -> readChunked()
            is Framing.UntilClose -> readToClose()
        }
    }

    /**
     * Reads the whole body.
     *
     * @throws BodyTooLargeException if it has more than [maxBytes] bytes.
     */
    public suspend fun readAll(maxBytes: Int): ByteArray {
        val pieces = java.io.ByteArrayOutputStream()
        while (true) {
            val piece = readAvailable() ?: return pieces.toByteArray()
            if (pieces.size() + piece.size > maxBytes) throw BodyTooLargeException(maxBytes)
            pieces.write(piece)
        }
    }

    private suspend fun readCounted(): ByteArray? {
        val count = input.readAvailable(buffer, 0, minOf(remaining, PIECE_BYTES.toLong()).toInt())
        if (count < 0) throw EOFException("connection ended within a body")
        remaining -= count
        return buffer.copyOf(count)
    }

    private suspend fun readChunked(): ByteArray? {
        if (!isInChunk) {
            remaining = chunkSize(readLine())
            if (remaining == 0L) {
                while (readLine().isNotEmpty()) Unit
                isComplete = true
                return null
            }
            isInChunk = true
        }
        val piece = readCounted()
        if (remaining == 0L) {
            if (readLine().isNotEmpty()) throw MalformedMessageException("chunk without end")
            isInChunk = false
        }
        return piece
    }

    private suspend fun readLine(): String = input.readLineStrict(MAX_CHUNK_LINE)
        ?: throw EOFException("connection ended within a body")

    private fun chunkSize(line: String): Long {
        val digits = line.substringBefore(';').trim()
        val isHex = digits.isNotEmpty() &&
            digits.all { it in '0'..'9' || it.lowercaseChar() in 'a'..'f' }
        return digits.takeIf { isHex }?.toLongOrNull(HEX)
            ?: throw MalformedMessageException("chunk size '$digits'")
    }

    private suspend fun readToClose(): ByteArray? {
        val count = input.readAvailable(buffer, 0, PIECE_BYTES)
        if (count >= 0) return buffer.copyOf(count)
        // The channel reports the end of a connection that was reset like an orderly one.
        input.closedCause?.let { throw IOException("connection reset within a body", it) }
        isComplete = true
        return null
    }

    private companion object {
        const val PIECE_BYTES = 4_096
        const val MAX_CHUNK_LINE = 1_024L
        const val HEX = 16
    }
}

/** A body is longer than [maxBytes]. */
public class BodyTooLargeException(public val maxBytes: Int) :
    IOException("body over $maxBytes bytes")
