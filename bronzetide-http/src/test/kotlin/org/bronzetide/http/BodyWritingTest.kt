package org.bronzetide.http

import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.InternalAPI
import kotlinx.coroutines.runBlocking
import kotlinx.io.Buffer
import kotlinx.io.Sink
import kotlinx.io.readByteArray
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

class BodyWritingTest {
    /** Guards against copies of the bodies that many slow readers hold besides the budget. */
    @Example
    fun outputHoldsACopyOfOnePartOfTheBody() {
        val body = ByteArray(100_000) { it.toByte() }
        val output = RecordingOutput()
        runBlocking {
            output.writeInParts(body)
            output.flush()
        }
        assertThat(output.sent.readByteArray()).isEqualTo(body)
        assertThat(output.largestBytes).isEqualTo(8_192)
    }

    @OptIn(InternalAPI::class)
    private class RecordingOutput : ByteWriteChannel {
        private val buffer = Buffer()
        val sent = Buffer()
        var largestBytes = 0L

        override val writeBuffer: Sink get() = buffer
        override val isClosedForWrite = false
        override val closedCause: Throwable? = null

        override suspend fun flush() {
            largestBytes = maxOf(largestBytes, buffer.size)
            sent.transferFrom(buffer)
        }

        override suspend fun flushAndClose() = flush()

        override fun cancel(cause: Throwable?) = Unit
    }
}
