package org.bronzetide.edge

import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.Header
import org.bronzetide.http.IncomingRequest

/**
 * A target falls silent in the middle of a stream, for longer than the time after which another one
 * is tried, and goes on or not. Guards against streams that are cut although their target is sound.
 */
class SilentTargetTest {
    private val environment = EdgeTestEnvironment()
    private val sends = AtomicInteger()

    @Volatile
    private var silentTargetLeftAtNs = 0L

    @Volatile
    private var replacementBeganAtNs = 0L

    @AfterTry
    fun close() = environment.close()

    @Example
    fun streamOfATargetThatGoesOnIsCompleteWhenAllOthersRefuse() {
        startTargets(silentMs = 1_700) { _, connection ->
            connection.send(503, listOf(Header("Not-Executed", "1")), ByteArray(0))
            true
        }
        assertThat(environment.ask("/stream/").body).isEqualTo(EdgeTestEnvironment.events(1..6))
        assertThat(sends.get()).isGreaterThan(1)
    }

    @Example
    fun streamOfATargetThatGoesOnIsCompleteWhenAnotherFails() {
        startTargets(silentMs = 1_700) { request, connection ->
            connection.send(
                500,
                EdgeTestEnvironment.signedHeaders(request),
                "failure".encodeToByteArray()
            )
            true
        }
        assertThat(environment.ask("/stream/").body).isEqualTo(EdgeTestEnvironment.events(1..6))
    }

    @Example
    fun streamOfATargetThatGoesOnIsCompleteWhenAnotherDoesNotSign() {
        startTargets(silentMs = 1_700) { request, connection ->
            connection.startResponse(200, EdgeTestEnvironment.signedHeaders(request).dropLast(1))
            connection.sendChunk(EdgeTestEnvironment.events(3..6).encodeToByteArray())
            connection.finishResponse()
            true
        }
        assertThat(environment.ask("/stream/").body).isEqualTo(EdgeTestEnvironment.events(1..6))
    }

    @Example
    fun streamOfATargetThatGoesOnIsCompleteWhenAnotherBreaksOff() {
        startTargets(silentMs = 1_700) { _, _ -> false }
        assertThat(environment.ask("/stream/").body).isEqualTo(EdgeTestEnvironment.events(1..6))
    }

    @Example
    fun targetThatGoesOnFirstCompletesTheStream() {
        startTargets(silentMs = 1_600) { request, connection ->
            replacementBeganAtNs = System.nanoTime()
            withTimeout(5_000) { connection.awaitClose() }
            silentTargetLeftAtNs = System.nanoTime()
            false
        }
        assertThat(environment.ask("/stream/").body).isEqualTo(EdgeTestEnvironment.events(1..6))
        assertThat((silentTargetLeftAtNs - replacementBeganAtNs) / 1_000_000).isLessThan(800)
    }

    @Example
    fun streamGoesOnAtAnotherTargetAndTheSilentOneIsLeftAtOnce() {
        startTargets(silentMs = 4_500) { request, connection ->
            delay(100)
            EdgeTestEnvironment.startStream(request, connection)
            replacementBeganAtNs = System.nanoTime()
            connection.sendChunk(EdgeTestEnvironment.events(3..6).encodeToByteArray())
            connection.finishResponse()
            true
        }
        assertThat(environment.ask("/stream/").body).isEqualTo(EdgeTestEnvironment.events(1..6))
        assertThat(environment.arrivals.last().headers["Last-Event-Id"]).isEqualTo("2")
        Thread.sleep(100)
        assertThat((silentTargetLeftAtNs - replacementBeganAtNs) / 1_000_000).isBetween(-400, 400)
    }

    /** The first send falls silent after two of six events; [respond] handles all other sends. */
    private fun startTargets(
        silentMs: Long,
        respond: suspend (IncomingRequest, CallerConnection) -> Boolean
    ) {
        repeat(2) { index ->
            environment.startTarget("t$index", "model") { request, connection ->
                if (sends.incrementAndGet() > 1) return@startTarget respond(request, connection)
                EdgeTestEnvironment.startStream(request, connection)
                connection.sendChunk(EdgeTestEnvironment.events(1..2).encodeToByteArray())
                val hasLeft = kotlinx.coroutines.withTimeoutOrNull(silentMs) {
                    connection.awaitClose()
                }
                if (hasLeft != null) {
                    silentTargetLeftAtNs = System.nanoTime()
                    return@startTarget false
                }
                connection.sendChunk(EdgeTestEnvironment.events(3..6).encodeToByteArray())
                connection.finishResponse()
                true
            }
        }
        environment.writeManifest()
        environment.start()
    }
}
