package org.bronzetide.cli

import kotlin.random.Random
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import net.jqwik.api.Example
import org.bronzetide.standins.StoreFault

/**
 * Sends concurrent requests through real nodes, with crashes, stalled connections and outages, and
 * compares the responses with the records of the targets and the ledger. Guards against duplicate
 * dispatches, false `NotRun` verdicts, truncated responses and lost ledger lines.
 */
class ClusterHistoryTest {
    @Example
    fun `each request runs once and every caller gets its own complete response`() =
        TestCluster.run(4) { test ->
            val random = Random(7)
            val tokenCounts = List(120) { 4 + random.nextInt(40) }
            val responses = coroutineScope {
                tokenCounts.mapIndexed { index, tokens ->
                    async {
                        delay(random.nextLong(1_500))
                        test.complete(index % 4, "request $index [out=$tokens]")
                    }
                }.awaitAll()
            }
            responses.zip(tokenCounts).forEach { (response, tokens) ->
                check(response.isComplete && response.text == text(tokens)) { "$response" }
            }
            checkDispatches(test, responses)
            checkLedger(test)
        }

    @Example
    fun `a node that crashes loses only its own requests and no refusal is false`() =
        TestCluster.run(4) { test ->
            val responses = coroutineScope {
                launch {
                    delay(600)
                    test.cluster.nodes[3].close()
                }
                List(80) { index ->
                    async {
                        delay(index * 20L)
                        val node = test.cluster.nodes[index % 4]
                        val url = "http://127.0.0.1:${node.port}"
                        runCatching {
                            test.caller.complete(
                                url,
                                TestCluster.KEY,
                                TestCluster.MODEL,
                                "r $index [out=30]"
                            )
                        }.getOrNull().let { index to it }
                    }
                }.awaitAll()
            }
            val elsewhere = responses.filter { it.first % 4 != 3 }.map { it.second }
            check(elsewhere.all { it != null && it.isComplete }) { "lost elsewhere: $elsewhere" }
            checkDispatches(test, responses.mapNotNull { it.second })
        }

    @Example
    fun `a command retried through other hosts runs once`() = TestCluster.run(4) { test ->
        val commands = List(20) { """{"ruling":$it}""" }
        val responses = coroutineScope {
            commands.flatMapIndexed { index, body ->
                List(3) { attempt ->
                    async {
                        delay(attempt * 15L)
                        test.command(index + attempt, "ruling-$index", body)
                    }
                }
            }.awaitAll()
        }
        check(responses.all { it.verdict == "Ran" }) {
            "${responses.filter { it.verdict != "Ran" }}"
        }
        commands.forEach { body ->
            val runs = test.cluster.services.sumOf { it.executionCounts[body] ?: 0 }
            check(runs == 1) { "$body ran $runs times" }
        }
    }

    @Example
    fun `idempotency keys survive the crash of their owner`() = TestCluster.run(4) { test ->
        val commands = List(24) { """{"ruling":$it}""" }
        commands.forEachIndexed { index, body -> test.command(0, "ruling-$index", body) }
        val crashedNode = test.cluster.nodes[3]
        crashedNode.close()
        test.cluster.nodes.remove(crashedNode)
        commands.forEachIndexed { index, body ->
            var response = test.command(index, "ruling-$index", body)
            repeat(100) {
                if (response.verdict == "Ran") return@repeat
                check(response.verdict == "NotRun") { "$response" }
                delay(100)
                response = test.command(index, "ruling-$index", body)
            }
            check(response.verdict == "Ran" && response.isReplayed) { "$response" }
            check(test.cluster.services.sumOf { it.executionCounts[body] ?: 0 } == 1)
        }
    }

    @Example
    fun `a key that was used with another request is refused`() = TestCluster.run(2) { test ->
        test.command(0, "same", """{"a":1}""")
        val other = test.command(1, "same", """{"a":2}""")
        check(other.status == 409 && other.verdict == "NotRun") { "$other" }
        check(test.cluster.services.sumOf { it.executionCounts["""{"a":2}"""] ?: 0 } == 0)
    }

    @Example
    fun `streams survive connections that stall`() =
        TestCluster.run(2, usesProxies = true) { test ->
            val responses = coroutineScope {
                launch {
                    delay(500)
                    test.cluster.proxies.forEach { it.stallOpenConnections() }
                }
                List(10) { async { test.complete(it, "r $it [out=250]", longOptions) } }.awaitAll()
            }
            responses.forEach { check(it.isComplete && it.text == text(250)) { "$it" } }
            checkDispatches(test, responses)
        }

    @Example
    fun `a planned stop cuts off nothing and closes the ledger`() = TestCluster.run(3) { test ->
        val leaving = test.cluster.nodes[0]
        val responses = coroutineScope {
            launch {
                delay(300)
                check(leaving.drain())
            }
            val url = "http://127.0.0.1:${leaving.port}"
            List(20) {
                async {
                    test.caller.complete(
                        url,
                        TestCluster.KEY,
                        TestCluster.MODEL,
                        "r $it [out=200]",
                        longOptions
                    )
                }
            }.awaitAll()
        }
        check(responses.all { it.isComplete }) { "${responses.filter { !it.isComplete }}" }
        test.cluster.nodes.remove(leaving)
        leaving.close()
        check(test.operator(1).invoice(TestCluster.CALLER).unclosedNodes.isEmpty())
    }

    @Example
    fun `the store's outage stops no request and loses no line`() = TestCluster.run(3) { test ->
        val responses = ArrayList<CallerResponse>()
        listOf(StoreFault.Unavailable, StoreFault.LostResponses, StoreFault.None).forEach { fault ->
            test.cluster.store.fault = fault
            repeat(10) { responses += test.complete(it, "r $it [out=10]") }
            delay(400)
        }
        check(responses.all { it.isComplete })
        checkLedger(test)
    }

    private fun checkDispatches(test: TestCluster, responses: List<CallerResponse>) {
        val received = test.requestCounts()
        check(received.values.all { it == 1 }) {
            "dispatched twice: ${received.filterValues { it > 1 }}"
        }
        val falseRefusals = responses.filter { it.verdict == "NotRun" && it.requestId in received }
        check(falseRefusals.isEmpty()) { "said not run, but ran: $falseRefusals" }
    }

    private suspend fun checkLedger(test: TestCluster) {
        val received = test.requestCounts().keys
        test.await("ledger") {
            test.operator().invoice(TestCluster.CALLER).lines.size >= received.size
        }
        val invoice = test.operator().invoice(TestCluster.CALLER)
        check(invoice.lines.map { it.requestId.value }.sorted() == received.sorted())
        check(invoice.totals.outputTokens == invoice.lines.sumOf { it.outputTokens.toLong() })
    }

    private fun text(tokens: Int) = (0 until tokens).joinToString("") { "$it " }

    private val longOptions = CallerClient.Options(maxTokens = 400)
}
