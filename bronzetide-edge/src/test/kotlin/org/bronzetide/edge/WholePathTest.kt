package org.bronzetide.edge

import java.util.concurrent.atomic.AtomicBoolean
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

/** One node before stand-ins: what callers and targets see of each kind of request and fault. */
class WholePathTest {
    private val world = EdgeTestEnvironment()

    @AfterTry
    fun close() = world.close()

    @Example
    fun requestReachesATargetWithTheSystemsHeadersOnly() {
        world.startTarget("t1") { request, connection ->
            EdgeTestEnvironment.answer(request, connection)
        }
        startWithManifest()
        val forged = listOf("Tenant", "Kv-Hold", "Kv-From", "Kv-Backup", "Pin-Ms", "Expect-Replica")
        val reply = world.ask(
            "/unsafe/x?q=1",
            forged.map { Header(it, "forged") } + Header("X-Api-Key", "key-1") +
                Header("X-Own", "1")
        )
        assertThat(reply.status).isEqualTo(200)
        assertThat(reply.body).isEqualTo("answer")
        assertThat(reply.headers).containsEntry("Response-Signature", "s")
        val arrived = world.arrivals.single()
        assertThat(arrived.requestTarget).isEqualTo("/unsafe/x?q=1")
        assertThat(arrived.headers["Tenant"]).isEqualTo("desk")
        assertThat(arrived.headers["Expect-Replica"]).isEqualTo("t1")
        assertThat(arrived.headers["X-Own"]).isEqualTo("1")
        assertThat(arrived.headers["X-Api-Key"]).isNull()
        assertThat(arrived.headers.filter { it.value == "forged" }).isEmpty()
        assertThat(arrived.headers["Deadline-Ms"]!!.toLong()).isBetween(1, 1_000)
    }

    @Example
    fun manifestDecidesWhoMayAsk() {
        world.startTarget("t1") { request, connection ->
            EdgeTestEnvironment.answer(request, connection)
        }
        startWithManifest()
        assertThat(world.ask("/safe/", emptyList()).status).isEqualTo(401)
        assertThat(world.ask("/safe/", listOf(Header("X-Api-Key", "no"))).status).isEqualTo(401)
        assertThat(world.ask("/none/").status).isEqualTo(404)
        assertThat(world.ask("/open/", emptyList()).status).isEqualTo(200)
        world.writeManifest(2, EdgeTestEnvironment.ROUTES.replace("/safe/", "/moved/"))
        eventually { world.ask("/moved/").status == 200 }
        assertThat(world.ask("/safe/").status).isEqualTo(404)
        world.writeManifest(1)
        Thread.sleep(100)
        assertThat(world.ask("/moved/").status).isEqualTo(200)
    }

    @Example
    fun withoutAManifestNothingIsDenied() {
        world.startTarget("t1") { request, connection ->
            EdgeTestEnvironment.answer(request, connection)
        }
        runBlocking { world.node.start() }
        val reply = world.ask("/safe/")
        assertThat(reply.status).isEqualTo(503)
        assertThat(reply.headers).containsKey("Retry-After")
    }

    @Example
    fun unsafeRequestThatMayHaveRunIsNotSentAgain() {
        repeat(2) { world.startTarget("t$it") { _, _ -> false } }
        startWithManifest()
        val reply = world.ask("/unsafe/")
        assertThat(reply.status).isEqualTo(502)
        assertThat(world.arrivals).hasSize(1)
    }

    @Example
    fun requestThatATargetRefusedGoesToAnother() {
        val isFirst = AtomicBoolean(true)
        repeat(2) {
            world.startTarget("t$it") { request, connection ->
                if (isFirst.getAndSet(
                        false
                    )
                ) {
                    refuse(connection)
                } else {
                    EdgeTestEnvironment.answer(request, connection)
                }
            }
        }
        startWithManifest()
        assertThat(world.ask("/unsafe/").status).isEqualTo(200)
        assertThat(world.arrivals.map { it.headers["Expect-Replica"] }.distinct()).hasSize(2)
    }

    @Example
    fun requestThatEveryTargetRefusedIsRefusedTruthfully() {
        world.startTarget("t1") { _, connection -> refuse(connection) }
        startWithManifest()
        val reply = world.ask("/unsafe/")
        assertThat(reply.status).isEqualTo(503)
        assertThat(reply.headers["Retry-After"]!!.toDouble()).isPositive()
    }

    @Example
    fun targetsRefusalWithoutItsPromiseIsNotPassedOnAsOne() {
        world.startTarget("t1") { _, connection ->
            connection.send(503, emptyList(), ByteArray(0))
            true
        }
        startWithManifest()
        assertThat(world.ask("/unsafe/").status).isEqualTo(502)
    }

    @Example
    fun lateAnswerToAnotherRequestIsPassedOver() {
        world.startTarget("t1") { request, connection ->
            val headers = listOf(Header("Request-Id", "other"), Header("Response-Signature", "s"))
            connection.send(200, headers, "foreign".encodeToByteArray())
            EdgeTestEnvironment.answer(request, connection)
        }
        startWithManifest()
        assertThat(world.ask("/safe/").body).isEqualTo("answer")
    }

    @Example
    fun successWithoutSignatureIsNotPassedOn() {
        world.startTarget("t1") { _, connection ->
            connection.send(200, emptyList(), "unsigned".encodeToByteArray())
            true
        }
        startWithManifest()
        assertThat(world.ask("/unsafe/").status).isEqualTo(502)
    }

    @Example
    fun brokenStreamGoesOnAtAnotherTargetWithoutRepeats() {
        val isFirst = AtomicBoolean(true)
        repeat(2) {
            world.startTarget("t$it", "model") { request, connection ->
                val from = request.headers["Last-Event-Id"]?.toInt() ?: 0
                startStream(request, connection)
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
        val reply = world.ask("/stream/")
        assertThat(reply.body).isEqualTo((1..6).joinToString("") { event(it) })
        assertThat(world.arrivals.last().headers["Last-Event-Id"]).isEqualTo("3")
    }

    @Example
    fun streamThatMayNotBeResumedEndsVisibly() {
        world.startTarget("t1", "model") { request, connection ->
            startStream(request, connection)
            sendEvents(connection, 1..3)
            false
        }
        startWithManifest()
        assertThatThrownBy { world.ask("/once/") }.isInstanceOf(java.io.IOException::class.java)
        assertThat(world.arrivals).hasSize(1)
    }

    @Example
    fun callersLeavingReachesTheTargetAtOnce() {
        val hasLeft = AtomicBoolean()
        world.startTarget("t1", "model") { request, connection ->
            startStream(request, connection)
            sendEvents(connection, 1..1)
            hasLeft.set(withTimeout(2_000) { connection.awaitClose() })
            false
        }
        startWithManifest()
        runBlocking {
            val connection = world.connect()
            connection.send(world.request("/stream/", listOf(Header("X-Api-Key", "key-1"))))
            connection.receive().body.readAvailable()
            connection.close()
        }
        eventually(500) { hasLeft.get() }
    }

    @Example
    fun callersLeavingWhileWaitingReachesTheTargetAtOnce() {
        val hasLeft = AtomicBoolean()
        world.startTarget("t1") { _, connection ->
            hasLeft.set(withTimeout(2_000) { connection.awaitClose() })
            false
        }
        startWithManifest()
        runBlocking {
            val connection = world.connect()
            connection.send(world.request("/unsafe/", listOf(Header("X-Api-Key", "key-1"))))
            withTimeout(1_000) { while (world.arrivals.isEmpty()) delay(5) }
            connection.close()
        }
        eventually(500) { hasLeft.get() }
    }

    @Example
    fun silentTargetOfAnIdempotentRequestIsLeftForAnother() {
        val isFirst = AtomicBoolean(true)
        repeat(2) {
            world.startTarget("t$it") { request, connection ->
                if (isFirst.getAndSet(false)) delay(1_500)
                EdgeTestEnvironment.answer(request, connection)
            }
        }
        startWithManifest()
        assertThat(world.ask("/safe/").status).isEqualTo(200)
        assertThat(world.arrivals).hasSize(2)
    }

    /** No budget for repeats: a sound target that pauses long is heard to the end. */
    @Example
    fun pausingStreamIsHeardToItsEndWhenItCannotBeSentAgain() {
        EdgeTestEnvironment("bounds.retry_slack=0\nbounds.retry_budget_ratio=0").use { poor ->
            poor.startTarget("t1", "model") { request, connection ->
                startStream(request, connection)
                sendEvents(connection, 1..2)
                delay(1_600)
                sendEvents(connection, 3..4)
                connection.finishResponse()
                true
            }
            poor.writeManifest()
            poor.start()
            assertThat(poor.ask("/stream/").body).isEqualTo((1..4).joinToString("") { event(it) })
            assertThat(poor.arrivals).hasSize(1)
        }
    }

    @Example
    fun requestIsAnsweredAtItsRoutesTimeLimit() {
        world.startTarget("t1") { _, _ ->
            delay(5_000)
            false
        }
        startWithManifest()
        val startNs = System.nanoTime()
        assertThat(world.ask("/unsafe/").status).isEqualTo(504)
        assertThat((System.nanoTime() - startNs) / 1_000_000).isBetween(900, 1_400)
    }

    @Example
    fun plannedStopCutsNothingOff() {
        world.startTarget("t1") { request, connection ->
            delay(700)
            EdgeTestEnvironment.answer(request, connection)
        }
        startWithManifest()
        runBlocking {
            val reply = async(kotlinx.coroutines.Dispatchers.IO) { world.ask("/safe/") }
            while (world.arrivals.isEmpty()) delay(5)
            world.node.drain()
            assertThat(reply.await().status).isEqualTo(200)
            assertThat(world.node.isReady).isFalse()
        }
    }

    @Example
    fun storeOutageAndLostHistoryLeaveTheTargetsInUse() {
        world.startTarget("t1") { request, connection ->
            EdgeTestEnvironment.answer(request, connection)
        }
        startWithManifest()
        world.store.isUnavailable = true
        Thread.sleep(500)
        assertThat(world.ask("/safe/").status).isEqualTo(200)
        world.store.compact()
        world.store.isUnavailable = false
        world.writeManifest(5, EdgeTestEnvironment.ROUTES.replace("/safe/", "/moved/"))
        eventually { world.ask("/moved/").status == 200 }
    }

    /** A call that began in the silence is never answered; a long one hides the return. */
    @Example
    fun manifestOfAStoreThatWasSilentIsInForceSoonAfterItsReturn() {
        world.startTarget("t1") { request, connection ->
            EdgeTestEnvironment.answer(request, connection)
        }
        startWithManifest()
        world.store.isUnresponsive = true
        val calls = world.store.manifestCallCount
        eventually(10_000) { world.store.manifestCallCount > calls }
        world.store.isUnresponsive = false
        world.writeManifest(5, EdgeTestEnvironment.ROUTES.replace("/safe/", "/moved/"))
        eventually(3_000) { world.ask("/moved/").status == 200 }
    }

    @Example
    fun leavingTargetGetsNothingMoreAndUnreadableEntriesAreLeftOut() {
        world.startTarget("t1") { request, connection ->
            EdgeTestEnvironment.answer(request, connection)
        }
        world.startTarget("t2") { request, connection ->
            EdgeTestEnvironment.answer(request, connection)
        }
        world.store.write("servers", "odd", """{"service":7,"state":"dancing"}""")
        startWithManifest()
        world.writeEntry("t1", "api", 1, "draining")
        Thread.sleep(200)
        world.arrivals.clear()
        repeat(10) { assertThat(world.ask("/safe/").status).isEqualTo(200) }
        assertThat(world.arrivals.map { it.headers["Expect-Replica"] }).containsOnly("t2")
    }

    @Example
    fun callersStatedTimeBoundsWhatATargetGets() {
        world.startTarget("t1") { request, connection ->
            EdgeTestEnvironment.answer(request, connection)
        }
        startWithManifest()
        runBlocking {
            world.connect().use { connection ->
                val headers = listOf(Header("X-Api-Key", "key-1"))
                val request = world.request("/safe/", headers)
                connection.send(request)
                assertThat(connection.receive().status).isEqualTo(200)
            }
        }
        assertThat(world.arrivals.single().headers["Deadline-Ms"]!!.toLong()).isLessThan(2_001)
    }

    private fun startWithManifest() {
        world.writeManifest()
        world.start()
        eventually { world.node.isReady }
    }

    private fun eventually(limitMs: Long = 3_000, condition: () -> Boolean) {
        val end = System.nanoTime() + limitMs * 1_000_000
        while (!condition()) {
            check(System.nanoTime() < end) { "not so within $limitMs ms" }
            Thread.sleep(5)
        }
    }

    private suspend fun refuse(connection: CallerConnection): Boolean {
        connection.send(503, listOf(Header("Not-Executed", "1")), ByteArray(0))
        return true
    }

    private suspend fun startStream(request: IncomingRequest, connection: CallerConnection) =
        connection.startResponse(
            200,
            listOf(
                Header("Request-Id", request.headers["Request-Id"].orEmpty()),
                Header("Response-Signature", "s"),
                Header("Content-Type", "text/event-stream")
            )
        )

    private suspend fun sendEvents(connection: CallerConnection, ids: Iterable<Int>) =
        ids.forEach { connection.sendChunk(event(it).encodeToByteArray()) }

    private fun event(id: Int) = "id: $id\ndata: text $id\n\n"
}
