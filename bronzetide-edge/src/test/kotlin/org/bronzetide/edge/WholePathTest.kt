package org.bronzetide.edge

import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.assertj.core.api.Assertions.assertThatThrownBy
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.Header
import org.bronzetide.http.IncomingRequest

/**
 * Tests one node with stand-ins for the store and the targets: what callers and targets observe for
 * each kind of request and fault.
 */
class WholePathTest {
    private val environment = EdgeTestEnvironment()

    @AfterTry
    fun close() = environment.close()

    @Example
    fun reservedHeadersFromTheCallerAreReplaced() {
        environment.startSoundTarget("t1")
        startWithManifest()
        val forged = listOf("Tenant", "Kv-Hold", "Kv-From", "Kv-Backup", "Pin-Ms", "Expect-Replica")
        val response = environment.ask(
            "/unsafe/x?q=1",
            forged.map { Header(it, "forged") } + Header("X-Api-Key", "key-1") +
                Header("X-Own", "1")
        )
        assertThat(response.status).isEqualTo(200)
        assertThat(response.body).isEqualTo("answer")
        assertThat(response.headers).containsEntry("Response-Signature", "s")
        val arrived = environment.arrivals.single()
        assertThat(arrived.requestTarget).isEqualTo("/unsafe/x?q=1")
        assertThat(arrived.headers["Tenant"]).isEqualTo("desk")
        assertThat(arrived.headers["Expect-Replica"]).isEqualTo("t1")
        assertThat(arrived.headers["X-Own"]).isEqualTo("1")
        assertThat(arrived.headers["X-Api-Key"]).isNull()
        assertThat(arrived.headers.filter { it.value == "forged" }).isEmpty()
        assertThat(arrived.headers["Deadline-Ms"]!!.toLong()).isBetween(1, 1_000)
    }

    @Example
    fun routesAndKeysFollowTheNewestManifest() {
        environment.startSoundTarget("t1")
        startWithManifest()
        assertThat(environment.ask("/safe/", emptyList()).status).isEqualTo(401)
        assertThat(environment.ask("/safe/", listOf(Header("X-Api-Key", "no"))).status)
            .isEqualTo(401)
        assertThat(environment.ask("/none/").status).isEqualTo(404)
        assertThat(environment.ask("/open/", emptyList()).status).isEqualTo(200)
        environment.writeManifest(2, EdgeTestEnvironment.ROUTES.replace("/safe/", "/moved/"))
        eventually { environment.ask("/moved/").status == 200 }
        assertThat(environment.ask("/safe/").status).isEqualTo(404)
        environment.writeManifest(1)
        Thread.sleep(100)
        assertThat(environment.ask("/moved/").status).isEqualTo(200)
    }

    @Example
    fun withoutAManifestRequestsAreRefusedWithRetryAfter() {
        environment.startSoundTarget("t1")
        runBlocking { environment.node.start() }
        val response = environment.ask("/safe/")
        assertThat(response.status).isEqualTo(503)
        assertThat(response.headers).containsKey("Retry-After")
    }

    @Example
    fun requestWithATooLongLineIsRefused() {
        startWithManifest()
        val response = environment.ask("/safe/", listOf(Header("X-Long", "x".repeat(10_000))))
        assertThat(response.status).isEqualTo(431)
    }

    @Example
    fun nonIdempotentRequestThatMayHaveRunIsNotRetried() {
        repeat(2) { environment.startTarget("t$it") { _, _ -> false } }
        startWithManifest()
        val response = environment.ask("/unsafe/")
        assertThat(response.status).isEqualTo(502)
        assertThat(environment.arrivals).hasSize(1)
    }

    @Example
    fun requestRefusedByOneTargetIsRetriedAtAnother() {
        val isFirst = AtomicBoolean(true)
        repeat(2) {
            environment.startTarget("t$it") { request, connection ->
                if (isFirst.getAndSet(false)) {
                    refuse(connection)
                } else {
                    EdgeTestEnvironment.sendSignedResponse(request, connection)
                }
            }
        }
        startWithManifest()
        assertThat(environment.ask("/unsafe/").status).isEqualTo(200)
        assertThat(environment.arrivals.map { it.headers["Expect-Replica"] }.distinct()).hasSize(2)
    }

    @Example
    fun requestRefusedByAllTargetsIsRefusedWithRetryAfter() {
        environment.startTarget("t1") { _, connection -> refuse(connection) }
        startWithManifest()
        val response = environment.ask("/unsafe/")
        assertThat(response.status).isEqualTo(503)
        assertThat(response.headers["Retry-After"]!!.toDouble()).isPositive()
    }

    @Example
    fun refusalWithoutNotExecutedHeaderBecomesBadGateway() {
        environment.startTarget("t1") { _, connection ->
            connection.send(503, emptyList(), ByteArray(0))
            true
        }
        startWithManifest()
        assertThat(environment.ask("/unsafe/").status).isEqualTo(502)
    }

    @Example
    fun lateResponseToAnotherRequestIsSkipped() {
        environment.startTarget("t1") { request, connection ->
            val headers = listOf(Header("Request-Id", "other"), Header("Response-Signature", "s"))
            connection.send(200, headers, "foreign".encodeToByteArray())
            EdgeTestEnvironment.sendSignedResponse(request, connection)
        }
        startWithManifest()
        assertThat(environment.ask("/safe/").body).isEqualTo("answer")
    }

    /** Guards against runs that are refused or repeated because of a second copy of a refusal. */
    @Example
    fun lateCopyOfARefusalIsNotTakenForTheResponseToTheNextSend() =
        assertThatRequestRunsOnce { request ->
            listOf(Header("Request-Id", request.headers["Request-Id"].orEmpty()))
        }

    /** Guards against the same when the refusal does not say to which request it belongs. */
    @Example
    fun lateCopyOfARefusalWithoutIdIsNotTakenForTheResponseToAnotherRequest() =
        assertThatRequestRunsOnce { emptyList() }

    /** The only target refuses the first send, and copies the refusal while the second one runs. */
    private fun assertThatRequestRunsOnce(idHeaders: (IncomingRequest) -> List<Header>) {
        val runs = AtomicInteger()
        val sends = AtomicInteger()
        var refused: CallerConnection? = null
        environment.startTarget("t1") { request, connection ->
            val refusal = idHeaders(request) + Header("Not-Executed", "1")
            if (sends.incrementAndGet() == 1) {
                refused = connection
                connection.send(503, refusal, ByteArray(0))
                return@startTarget true
            }
            runs.incrementAndGet()
            delay(30)
            runCatching { refused?.send(503, refusal, ByteArray(0)) }
            delay(200)
            EdgeTestEnvironment.sendSignedResponse(request, connection)
        }
        startWithManifest()
        assertThat(environment.ask("/unsafe/").status).isEqualTo(200)
        assertThat(runs.get()).isEqualTo(1)
    }

    @Example
    fun successWithoutSignatureBecomesBadGateway() {
        environment.startTarget("t1") { _, connection ->
            connection.send(200, emptyList(), "unsigned".encodeToByteArray())
            true
        }
        startWithManifest()
        assertThat(environment.ask("/unsafe/").status).isEqualTo(502)
    }

    @Example
    fun brokenStreamResumesAtAnotherTargetWithoutDuplicateEvents() {
        val isFirst = AtomicBoolean(true)
        repeat(2) {
            environment.startTarget("t$it", "model") { request, connection ->
                val from = request.headers["Last-Event-Id"]?.toInt() ?: 0
                EdgeTestEnvironment.startStream(request, connection)
                if (isFirst.getAndSet(false)) {
                    sendEvents(connection, 1..3)
                    connection.sendChunk("id: 4\ndata: tor".encodeToByteArray())
                    false
                } else {
                    sendEvents(connection, from + 1..6)
                    connection.finishResponse()
                    true
                }
            }
        }
        startWithManifest()
        val response = environment.ask("/stream/")
        assertThat(response.body).isEqualTo(EdgeTestEnvironment.events(1..6))
        assertThat(environment.arrivals.last().headers["Last-Event-Id"]).isEqualTo("3")
    }

    @Example
    fun nonResumableStreamThatBreaksIsVisibleToTheCaller() {
        environment.startTarget("t1", "model") { request, connection ->
            EdgeTestEnvironment.startStream(request, connection)
            sendEvents(connection, 1..3)
            false
        }
        startWithManifest()
        assertThatThrownBy { environment.ask("/once/") }
            .isInstanceOf(java.io.IOException::class.java)
        assertThat(environment.arrivals).hasSize(1)
    }

    @Example
    fun callerDisconnectDuringAStreamClosesTheTargetsConnection() {
        val hasDisconnected = AtomicBoolean()
        environment.startTarget("t1", "model") { request, connection ->
            EdgeTestEnvironment.startStream(request, connection)
            sendEvents(connection, 1..1)
            hasDisconnected.set(withTimeout(2_000) { connection.awaitClose() })
            false
        }
        startWithManifest()
        runBlocking {
            val connection = environment.connect()
            connection.send(environment.request("/stream/", listOf(Header("X-Api-Key", "key-1"))))
            connection.receive().body.readAvailable()
            connection.close()
        }
        eventually(500) { hasDisconnected.get() }
    }

    @Example
    fun callerDisconnectBeforeAResponseClosesTheTargetsConnection() {
        val hasDisconnected = AtomicBoolean()
        environment.startTarget("t1") { _, connection ->
            hasDisconnected.set(withTimeout(2_000) { connection.awaitClose() })
            false
        }
        startWithManifest()
        runBlocking {
            val connection = environment.connect()
            connection.send(environment.request("/unsafe/", listOf(Header("X-Api-Key", "key-1"))))
            withTimeout(1_000) { while (environment.arrivals.isEmpty()) delay(5) }
            connection.close()
        }
        eventually(500) { hasDisconnected.get() }
    }

    @Example
    fun idempotentRequestFailsOverFromAStalledTarget() {
        val isFirst = AtomicBoolean(true)
        repeat(2) {
            environment.startTarget("t$it") { request, connection ->
                if (isFirst.getAndSet(false)) delay(1_500)
                EdgeTestEnvironment.sendSignedResponse(request, connection)
            }
        }
        startWithManifest()
        assertThat(environment.ask("/safe/").status).isEqualTo(200)
        assertThat(environment.arrivals).hasSize(2)
    }

    /** With an empty retry budget, a healthy target with a long pause must not be abandoned. */
    @Example
    fun stalledStreamIsAwaitedWhenNoRetryIsLeft() {
        EdgeTestEnvironment("bounds.retry_slack=0\nbounds.retry_budget_ratio=0").use { edge ->
            edge.startTarget("t1", "model") { request, connection ->
                EdgeTestEnvironment.startStream(request, connection)
                sendEvents(connection, 1..2)
                delay(1_600)
                sendEvents(connection, 3..4)
                connection.finishResponse()
                true
            }
            edge.writeManifest()
            edge.start()
            assertThat(edge.ask("/stream/").body).isEqualTo(EdgeTestEnvironment.events(1..4))
            assertThat(edge.arrivals).hasSize(1)
        }
    }

    @Example
    fun requestTimesOutAtTheRoutesTimeout() {
        environment.startTarget("t1") { _, _ ->
            delay(5_000)
            false
        }
        startWithManifest()
        val startNs = System.nanoTime()
        assertThat(environment.ask("/unsafe/").status).isEqualTo(504)
        assertThat((System.nanoTime() - startNs) / 1_000_000).isBetween(900, 1_400)
    }

    @Example
    fun drainCompletesRequestsInProgress() {
        environment.startTarget("t1") { request, connection ->
            delay(700)
            EdgeTestEnvironment.sendSignedResponse(request, connection)
        }
        startWithManifest()
        runBlocking {
            val response = async(kotlinx.coroutines.Dispatchers.IO) { environment.ask("/safe/") }
            while (environment.arrivals.isEmpty()) delay(5)
            environment.node.drain()
            assertThat(response.await().status).isEqualTo(200)
            assertThat(environment.node.isReady).isFalse()
        }
    }

    @Example
    fun targetsStayInUseThroughAStoreOutageAndCompaction() {
        environment.startSoundTarget("t1")
        startWithManifest()
        environment.store.isUnavailable = true
        Thread.sleep(500)
        assertThat(environment.ask("/safe/").status).isEqualTo(200)
        environment.store.compact()
        environment.store.isUnavailable = false
        environment.writeManifest(5, EdgeTestEnvironment.ROUTES.replace("/safe/", "/moved/"))
        eventually { environment.ask("/moved/").status == 200 }
    }

    /**
     * A call that starts while the store is unresponsive never gets a response, so with a long
     * timeout such a call would delay noticing that the store responds again.
     */
    @Example
    fun manifestIsReadSoonAfterTheStoreRespondsAgain() {
        environment.startSoundTarget("t1")
        startWithManifest()
        environment.store.isUnresponsive = true
        val calls = environment.store.manifestCallCount
        eventually(10_000) { environment.store.manifestCallCount > calls }
        environment.store.isUnresponsive = false
        environment.writeManifest(5, EdgeTestEnvironment.ROUTES.replace("/safe/", "/moved/"))
        eventually(3_000) { environment.ask("/moved/").status == 200 }
    }

    @Example
    fun leavingTargetsAndInvalidEntriesGetNoRequests() {
        environment.startSoundTarget("t1")
        environment.startSoundTarget("t2")
        environment.store.write("servers", "odd", """{"service":7,"state":"dancing"}""")
        startWithManifest()
        environment.writeEntry("t1", "api", 1, "draining")
        Thread.sleep(200)
        environment.arrivals.clear()
        repeat(10) { assertThat(environment.ask("/safe/").status).isEqualTo(200) }
        assertThat(environment.arrivals.map { it.headers["Expect-Replica"] }).containsOnly("t2")
    }

    /** Guards against one foreign entry that ends the watch of all entries. */
    @Example
    fun targetThatLeavesAfterADeeplyNestedEntryGetsNoRequests() {
        repeat(2) {
            environment.startSoundTarget("t$it")
        }
        startWithManifest()
        val nested = "[".repeat(100_000) + "]".repeat(100_000)
        environment.store.write("servers", "odd", """{"slots":"many","zone":$nested}""")
        Thread.sleep(500)
        environment.writeEntry("t1", "api", 1, "draining")
        Thread.sleep(1_000)
        environment.arrivals.clear()
        repeat(10) { assertThat(environment.ask("/safe/").status).isEqualTo(200) }
        assertThat(environment.arrivals.map { it.headers["Expect-Replica"] }).containsOnly("t0")
    }

    @Example
    fun targetsDeadlineIsCappedByTheRoutesTimeout() {
        environment.startSoundTarget("t1")
        startWithManifest()
        runBlocking {
            environment.connect().use { connection ->
                val headers = listOf(Header("X-Api-Key", "key-1"))
                val request = environment.request("/safe/", headers)
                connection.send(request)
                assertThat(connection.receive().status).isEqualTo(200)
            }
        }
        assertThat(environment.arrivals.single().headers["Deadline-Ms"]!!.toLong())
            .isLessThan(2_001)
    }

    private fun startWithManifest() {
        environment.writeManifest()
        environment.start()
        eventually { environment.node.isReady }
    }

    private fun eventually(limitMs: Long = 3_000, condition: () -> Boolean) {
        val end = System.nanoTime() + limitMs * 1_000_000
        while (!condition()) {
            check(System.nanoTime() < end) { "condition not met within $limitMs ms" }
            Thread.sleep(5)
        }
    }

    private suspend fun refuse(connection: CallerConnection): Boolean {
        connection.send(503, listOf(Header("Not-Executed", "1")), ByteArray(0))
        return true
    }

    private suspend fun sendEvents(connection: CallerConnection, ids: Iterable<Int>) =
        ids.forEach { connection.sendChunk(EdgeTestEnvironment.event(it).encodeToByteArray()) }
}
