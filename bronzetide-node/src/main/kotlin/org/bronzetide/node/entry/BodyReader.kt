package org.bronzetide.node.entry

import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.readRemaining
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException
import java.nio.charset.CodingErrorAction
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray

/** Reads request bodies of at most [maxBytes] bytes within [timeoutMs] milliseconds. */
internal class BodyReader(private val maxBytes: Int, private val timeoutMs: Long) {
    /** Reads the body of [call] as UTF-8 text; malformed input is rejected, not replaced. */
    suspend fun read(call: ApplicationCall): BodyResult {
        if ((call.request.contentLength() ?: 0) > maxBytes) return BodyResult.TooLarge
        val bytes = withTimeoutOrNull(timeoutMs) {
            call.receiveChannel().readRemaining(maxBytes + 1L).readByteArray()
        } ?: return BodyResult.TooSlow
        return if (bytes.size > maxBytes) BodyResult.TooLarge else decode(bytes)
    }

    private fun decode(bytes: ByteArray): BodyResult = try {
        val decoder = Charsets.UTF_8.newDecoder()
            .onMalformedInput(CodingErrorAction.REPORT)
            .onUnmappableCharacter(CodingErrorAction.REPORT)
        BodyResult.Text(decoder.decode(ByteBuffer.wrap(bytes)).toString())
    } catch (_: CharacterCodingException) {
        BodyResult.InvalidUtf8
    }

    /** The result of [read]. */
    sealed class BodyResult {
        data class Text(val text: String) : BodyResult()

        data object TooLarge : BodyResult()

        data object TooSlow : BodyResult()

        data object InvalidUtf8 : BodyResult()
    }
}
