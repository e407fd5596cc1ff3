package org.bronzetide.http

import io.ktor.utils.io.ByteReadChannel
import java.io.EOFException
import java.io.IOException
import kotlin.random.Random
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.assertj.core.api.Assertions.assertThat
import org.assertj.core.api.Assertions.assertThatThrownBy

class MessageBodyTest {
    @Property(tries = 200)
    fun bodyIsTheConcatenationOfItsChunks(@ForAll seed: Long) {
        val random = Random(seed)
        val chunks = List(random.nextInt(6)) { random.nextBytes(random.nextInt(1, 9_000)) }
        val wire = chunks.fold(ByteArray(0)) { all, chunk ->
            all + "${chunk.size.toString(16)}\r\n".encodeToByteArray() + chunk +
                "\r\n".encodeToByteArray()
        } + "0\r\n\r\n".encodeToByteArray()
        val body = MessageBody(ByteReadChannel(wire), Framing.Chunked)
        val read = runBlocking { body.readAll(1_000_000) }
        assertThat(read).isEqualTo(chunks.fold(ByteArray(0), ByteArray::plus))
        assertThat(body.isComplete).isTrue()
    }

    @Property(tries = 200)
    fun truncatedBodyIsNeverComplete(@ForAll @IntRange(min = 0, max = 25) length: Int) {
        val wire = "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n".take(length)
        val body = MessageBody(ByteReadChannel(wire.encodeToByteArray()), Framing.Chunked)
        assertThatThrownBy { runBlocking { body.readAll(100) } }
            .isInstanceOf(IOException::class.java)
        assertThat(body.isComplete).isFalse()
    }

    @Example
    fun bodyShorterThanItsLengthFails() {
        val body = MessageBody(ByteReadChannel("abc".encodeToByteArray()), Framing.Length(4))
        assertThatThrownBy { runBlocking { body.readAll(100) } }
            .isInstanceOf(EOFException::class.java)
    }

    @Example
    fun bodyOverItsLimitFails() {
        val body = MessageBody(ByteReadChannel(ByteArray(101)), Framing.Length(101))
        assertThatThrownBy { runBlocking { body.readAll(100) } }
            .isInstanceOf(BodyTooLargeException::class.java)
    }

    @Example
    fun contradictoryFramingIsMalformed() {
        val contradictions = listOf(
            listOf(Header("Content-Length", "3"), Header("Transfer-Encoding", "chunked")),
            listOf(Header("Content-Length", "3"), Header("Content-Length", "4")),
            listOf(Header("Content-Length", "+3")),
            listOf(Header("Content-Length", "-1")),
            listOf(Header("Transfer-Encoding", "gzip, chunked")),
            listOf(Header("Transfer-Encoding", "xchunked"))
        )
        contradictions.forEach { headers ->
            assertThatThrownBy { Framing.of(HeaderList(headers), Framing.Length(0)) }
                .isInstanceOf(MalformedMessageException::class.java)
        }
    }

    @Example
    fun hopByHopHeadersAreNotForwarded() {
        val headers = HeaderList(
            listOf(
                Header("Connection", "X-Hop, close"),
                Header("X-Hop", "1"),
                Header("Keep-Alive", "timeout=5"),
                Header("Transfer-Encoding", "chunked"),
                Header("X-Kept", "2")
            )
        )
        assertThat(headers.endToEnd()).containsExactly(Header("X-Kept", "2"))
    }
}
