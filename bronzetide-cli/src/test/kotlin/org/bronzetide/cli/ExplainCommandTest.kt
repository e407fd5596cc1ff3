package org.bronzetide.cli

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import kotlin.random.Random
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.bronzetide.edge.EdgeNode
import org.bronzetide.model.JsonFormats
import org.bronzetide.platform.fleet.HostSettings

/**
 * `bronzetide explain` against a real process with a stand-in for its store. Guards against output
 * that doesn't match what the process sends, and against errors without a message or exit code.
 */
class ExplainCommandTest {
    private val closed = ArrayList<AutoCloseable>()

    @AfterTry
    fun close() = closed.forEach { it.close() }

    @Example
    fun `text names route, account, quota, verdict and candidates`() {
        val address = startNode()
        val result = explain(address, "--request-host", "h.example", "--path", "/chat/x")
        check(result.statusCode == 0) { result.output }
        listOf(
            "host edge-1, manifest 1",
            "route chat, account desk, priority 0",
            "quota 1000 per s, burst 2000, takes 7, not used on this host yet",
            "service model (100% of the route): sent to t1",
            "rank 0, 0 ahead; in progress or queued here 0",
            "t1 in z1: free, 0 of 8 slots (0 from here), pace 1.00, first event in "
        ).forEach { check(it in result.stdout) { "'$it' is not in ${result.output}" } }
    }

    @Example
    fun `JSON is the explanation of the process`() {
        val address = startNode()
        val result = explain(address, "--request-host", "h.example", "--path", "/chat/", "--json")
        val explanation =
            JsonFormats.wire.decodeFromString(Explanation.serializer(), result.stdout)
        check(explanation.services.single().target == "t1")
        check(explanation.quota?.units == 7L)
    }

    @Example
    fun `a refusal is an answer, not an error`() {
        val address = startNode()
        val result = explain(address, "--request-host", "h.example", "--path", "/none/")
        check(result.statusCode == 0)
        check("refused with 404: no route" in result.stdout) { result.output }
    }

    @Example
    fun `invalid arguments are named`() {
        val valid = listOf("--request-host", "h", "--path", "/x")
        val cases = mapOf(
            listOf("--request-host", "h") to "--path",
            listOf("--path", "/x") to "--request-host",
            listOf("--request-host", "h", "--path", "x") to "--path",
            valid + listOf("--prompt-tokens", "-1") to "--prompt-tokens",
            valid + listOf("--max-output-tokens", "x") to "--max-output-tokens"
        )
        cases.forEach { (arguments, named) ->
            assertFails(explain("127.0.0.1:1", arguments), ExitCodes.INVALID, named)
        }
        listOf("nowhere", "10.0.0.1:", "10.0.0.1:99999", ":80").forEach {
            assertFails(explain(it, valid), ExitCodes.INVALID, "--host must be IP:PORT")
        }
        assertFails(ExplainCommand().test(valid), ExitCodes.INVALID, "--host is missing")
    }

    /** Guards against a value that only the process checks and reports. */
    @Example
    fun `a value that the process rejects is named`() {
        val address = startNode()
        val arguments = listOf("--request-host", "h", "--path", "/x", "--method", "G:T")
        assertFails(explain(address, arguments), ExitCodes.INVALID, "method")
    }

    @Example
    fun `hosts that do not answer with an explanation are reported`() {
        val arguments = listOf("--request-host", "h", "--path", "/x")
        val port = freePorts(1).single()
        assertFails(explain("127.0.0.1:$port", arguments), ExitCodes.UNAVAILABLE, "does not answer")
        val other = serve { exchange ->
            if (exchange.requestURI.path == "/explain") respond(exchange, "no JSON")
        }
        assertFails(explain(other, arguments), ExitCodes.UNAVAILABLE, "no explanation")
        val older = serve { it.sendResponseHeaders(404, -1) }
        assertFails(explain(older, arguments), ExitCodes.UNAVAILABLE, "older version")
    }

    private fun assertFails(result: CliktCommandTestResult, exitCode: Int, message: String) {
        check(result.statusCode == exitCode) { "exit code ${result.statusCode}: ${result.output}" }
        check(message in result.stderr) { result.output }
    }

    private fun explain(address: String, vararg arguments: String) =
        explain(address, arguments.toList())

    private fun explain(address: String, arguments: List<String>): CliktCommandTestResult =
        ExplainCommand().test(listOf("--host", address, "--key", "key-1") + arguments)

    /** Starts a node with one target, and returns its control address. */
    private fun startNode(): String {
        val store = serve { respond(it, storeResponse(it)) }
        val ports = freePorts(4)
        val node = EdgeNode(
            HostSettings.parse(
                """
                node_name=edge-1
                zone=z1
                ip=127.0.0.1
                listen.front=127.0.0.1:${ports[0]}
                listen.ready=127.0.0.1:${ports[1]}
                listen.control=127.0.0.1:${ports[2]}
                inner_ports=${ports[3]},${ports[3]}
                seeds=
                limits.cpu_share=1
                limits.memory_mb=200
                platform.address=$store
                """.trimIndent()
            )
        )
        closed += node
        runBlocking {
            node.start()
            withTimeout(10_000) { while (!node.isReady) delay(5) }
        }
        return "127.0.0.1:${ports[2]}"
    }

    /** Answers lists with one object, and watches with no events at their end. */
    private fun storeResponse(exchange: HttpExchange): String {
        val query = exchange.requestURI.query.orEmpty()
        if ("watch=" in query) {
            Thread.sleep(query.substringAfter("wait_ms=").substringBefore('&').toLong())
            return """{"events":[],"current_rev":10}"""
        }
        val (name, spec) = if ("config" in exchange.requestURI.path) {
            "main" to MANIFEST
        } else {
            "t1" to TARGET
        }
        return """{"items":[{"metadata":{"name":"$name","revision":10},"spec":$spec}],
            "more":false,"current_rev":10}"""
    }

    private fun respond(exchange: HttpExchange, body: String) = exchange.use {
        val bytes = body.toByteArray()
        it.sendResponseHeaders(200, bytes.size.toLong())
        it.responseBody.write(bytes)
    }

    private fun serve(handle: (HttpExchange) -> Unit): String {
        val server = HttpServer.create(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0)
        val executor = java.util.concurrent.Executors.newCachedThreadPool()
        server.executor = executor
        server.createContext("/") { handle(it) }
        server.start()
        closed += AutoCloseable {
            server.stop(0)
            executor.shutdownNow()
        }
        return "127.0.0.1:${server.address.port}"
    }

    /** Free ports below the ephemeral range, where no outgoing connection takes them. */
    private fun freePorts(count: Int): List<Int> =
        generateSequence { Random.nextInt(FIRST_PORT, LAST_PORT) }.distinct()
            .filter { port -> runCatching { ServerSocket(port).close() }.isSuccess }
            .take(count).toList()

    private companion object {
        const val FIRST_PORT = 10_000
        const val LAST_PORT = 12_000

        const val MANIFEST = """{"version":1,
            "routes":[{"name":"chat","host":"h.example","path_prefix":"/chat/",
              "kind":"streaming","timeout_ms":5000,"target_latency_ms":400,"priority":0,
              "service":"model","max_attempts":2,"resumable":true,"gap_target_ms":300}],
            "services":[{"name":"model","health_path":"/health","max_conns":50,
              "engine":{"slots":8}}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":100000,
              "header_timeout_ms":500,"idle_timeout_ms":15000},
            "tenants":[{"name":"desk","api_keys":["key-1"],"unit":"tokens","plain_tokens":7,
              "rate_per_s":1000,"burst":2000}]}"""
        const val TARGET = """{"service":"model","address":"127.0.0.1:9","zone":"z1","slots":8,
            "state":"ready","version":"v1"}"""
    }
}
