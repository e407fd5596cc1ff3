package org.bronzetide.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readLineStrict
import java.io.ByteArrayOutputStream
import java.io.EOFException
import java.io.IOException
import kotlinx.coroutines.CancellationException

/** How the end of a message's body is determined. */
public sealed class Framing {
    /** The body has [bytes] bytes; 0 for none. */
    public data class Length(val bytes: Long) : Framing()

    /** The body is sent in chunks and ends with an empty one. */
    public data object Chunked : Framing()

    /** The body ends when the connection is closed. */
    public data object UntilClose : Framing()

    public companion object {
        /**
         * Returns the framing that [headers] declare, or [default] if they declare none.
         *
         * @throws MalformedMessageException if they are contradictory or not supported.
         */
        public fun of(headers: HeaderList, default: Framing): Framing {
            val lengths = headers.all("Content-Length").flatMap { it.split(',') }
                .map { it.trim() }.distinct()
            val codings = headers.all("Transfer-Encoding")
            if (codings.isEmpty()) return if (lengths.isEmpty()) default else length(lengths)
            if (lengths.isNotEmpty()) throw MalformedMessageException("both length and chunks")
            if (codings.size > 1 || !codings[0].trim().equals("chunked", ignoreCase = true)) {
                throw MalformedMessageException("unsupported coding '${codings.joinToString()}'")
            }
            return Chunked
        }

        private fun length(values: List<String>): Length {
            val isNumber = values.size == 1 &&
                values[0].isNotEmpty() &&
                values[0].all { it in '0'..'9' }
            val bytes = if (isNumber) values[0].toLongOrNull() else null
            return Length(bytes ?: throw MalformedMessageException("invalid length '$values'"))
        }
    }
}

/** A message does not conform to HTTP/1.1. */
public class MalformedMessageException(message: String) : IOException(message)

/** The connection ended before the message did. */
public class TruncatedMessageException(message: String, cause: Throwable? = null) :
    EOFException(message) {
    init {
        cause?.let(::initCause)
    }
}

/**
 * Runs [block], which parses the head of a message of the kind [what].
 *
 * @throws MalformedMessageException in place of the several exceptions, none of them of I/O, by
 * which the parser reports malformed input.
 */
internal inline fun <T> parsing(what: String, block: () -> T): T = try {
    block()
} catch (cause: CancellationException) {
    throw cause
} catch (cause: RuntimeException) {
    throw MalformedMessageException("invalid $what: ${cause.message}")
}

/**
 * Reads the body of one message from [input], part by part. Failures of the connection are thrown
 * as [failure] maps them. A body that ends with the connection is complete unless [onClose] throws.
 */
public class MessageBody(
    private val input: ByteReadChannel,
    private val framing: Framing,
    private val failure: (IOException) -> IOException = { it },
    private val onClose: () -> Unit = {}
) {
    private var remaining = (framing as? Framing.Length)?.bytes ?: 0L
    private var isInChunk = false
    private val buffer = ByteArray(BUFFER_BYTES)

    /** The length of the body if it is known in advance. */
    public val lengthBytes: Long? get() = (framing as? Framing.Length)?.bytes

    /** Whether the body has been read to its end. */
    public var isComplete: Boolean = framing is Framing.Length && remaining == 0L
        private set

    /**
     * Suspends until more of the body is available and returns it, or `null` at the end.
     *
     * @throws TruncatedMessageException if the connection ends before the body does.
     * @throws MalformedMessageException if a chunk is malformed.
     */
    public suspend fun readAvailable(): ByteArray? {
        if (isComplete) return null
        return try {
            when (framing) {
                is Framing.Length -> readCounted()?.also { isComplete = remaining == 0L }
                is Framing.Chunked -> readChunked()
                is Framing.UntilClose -> readToClose()
            }
        } catch (cause: IOException) {
            throw failure(if (cause.isOfMessage) cause else truncated(cause))
        }
    }

    private val IOException.isOfMessage: Boolean
        get() = this is MalformedMessageException || this is TruncatedMessageException

    private fun truncated(cause: IOException) =
        TruncatedMessageException("connection broke within the body: ${cause.message}", cause)

    /**
     * Reads the whole body, or the rest of it after [first].
     *
     * @throws BodyTooLargeException if it has more than [maxBytes] bytes.
     * @throws TruncatedMessageException if the connection ends before the body does.
     * @throws MalformedMessageException if a chunk is malformed.
     */
    public suspend fun readAll(maxBytes: Int, first: ByteArray = ByteArray(0)): ByteArray {
        val knownBytes = lengthBytes
        if (knownBytes != null && knownBytes > maxBytes) throw BodyTooLargeException(maxBytes)
        if (knownBytes != null && first.isEmpty()) return readExactly(knownBytes.toInt())
        val body = ByteArrayOutputStream(maxOf(first.size, BUFFER_BYTES))
        body.write(first)
        while (true) {
            val bytes = readAvailable() ?: return body.toByteArray()
            if (body.size() + bytes.size > maxBytes) throw BodyTooLargeException(maxBytes)
            body.write(bytes)
        }
    }

    /**
     * Reads until [minBytes] bytes or the end have been reached, and returns what was read.
     *
     * @throws TruncatedMessageException if the connection ends before the body does.
     * @throws MalformedMessageException if a chunk is malformed.
     */
    public suspend fun readUpTo(minBytes: Int): ByteArray {
        val body = ByteArrayOutputStream()
        while (body.size() < minBytes) body.write(readAvailable() ?: break)
        return body.toByteArray()
    }

    /**
     * Reads the rest of the body and forgets it, up to [maxBytes] bytes. Returns whether its end
     * was reached.
     *
     * @throws TruncatedMessageException if the connection ends before the body does.
     * @throws MalformedMessageException if a chunk is malformed.
     */
    public suspend fun skip(maxBytes: Int): Boolean {
        var skippedBytes = 0L
        while (skippedBytes <= maxBytes) skippedBytes += (readAvailable() ?: return true).size
        return false
    }

    /** Reads a body of [count] bytes into an array that grows as they arrive, to that size. */
    private suspend fun readExactly(count: Int): ByteArray {
        var body = ByteArray(minOf(count, BUFFER_BYTES))
        var size = 0
        while (true) {
            val bytes = readAvailable() ?: return body
            if (size + bytes.size > body.size) body = body.copyOf(minOf(count, body.size * 2))
            bytes.copyInto(body, size)
            size += bytes.size
        }
    }

    private suspend fun readCounted(): ByteArray? {
        val count = input.readAvailable(buffer, 0, minOf(remaining, BUFFER_BYTES.toLong()).toInt())
        if (count < 0) throw TruncatedMessageException("connection closed within the body")
        remaining -= count
        return buffer.copyOf(count)
    }

    private suspend fun readChunked(): ByteArray? {
        if (!isInChunk) {
            remaining = chunkSize(readLine())
            if (remaining == 0L) {
                skipTrailers()
                isComplete = true
                return null
            }
            isInChunk = true
        }
        val bytes = readCounted()
        if (remaining == 0L) {
            if (readLine().isNotEmpty()) throw MalformedMessageException("no line end after chunk")
            isInChunk = false
        }
        return bytes
    }

    private suspend fun skipTrailers() {
        repeat(MAX_TRAILERS) { if (readLine().isEmpty()) return }
        throw MalformedMessageException("more than $MAX_TRAILERS trailers")
    }

    private suspend fun readLine(): String = input.readLineStrict(MAX_CHUNK_LINE_LENGTH)
        ?: throw TruncatedMessageException("connection closed within the body")

    private fun chunkSize(line: String): Long {
        val digits = line.substringBefore(';').trim()
        val isHex = digits.isNotEmpty() &&
            digits.all { it in '0'..'9' || it.lowercaseChar() in 'a'..'f' }
        return digits.takeIf { isHex }?.toLongOrNull(HEX)
            ?: throw MalformedMessageException("invalid chunk size '$digits'")
    }

    private suspend fun readToClose(): ByteArray? {
        val count = input.readAvailable(buffer, 0, BUFFER_BYTES)
        if (count >= 0) return buffer.copyOf(count)
        // The channel reports a reset like an orderly end.
        input.closedCause?.let {
            throw TruncatedMessageException("connection reset within the body", it)
        }
        onClose()
        isComplete = true
        return null
    }

    private companion object {
        const val BUFFER_BYTES = 4_096
        const val MAX_CHUNK_LINE_LENGTH = 1_024L
        const val MAX_TRAILERS = 100
        const val HEX = 16
    }
}

/** A body has more than [maxBytes] bytes. */
public class BodyTooLargeException(public val maxBytes: Int) :
    IOException("body exceeds $maxBytes bytes")
