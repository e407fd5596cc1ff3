package org.bronzetide.cli

import io.ktor.client.request.bearerAuth
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import java.net.Socket
import kotlin.random.Random
import kotlinx.coroutines.withTimeoutOrNull
import net.jqwik.api.Example

/**
 * Sends malformed requests and random bytes, and disconnects early. Checks that each malformed
 * request gets its status and verdict, and that no request or slot stays occupied.
 */
class HostileInputTest {
    @Example
    fun `each kind of bad request gets its status and verdict`() = TestCluster.run(1) { test ->
        val good = """{"model":"style-1","messages":[{"role":"user","content":"hi"}]}"""
        val cases = listOf(
            "{" to 400,
            "[]" to 400,
            "\"text\"" to 400,
            """{"model":7,"messages":[]}""" to 400,
            """{"model":"style-1","messages":"hi"}""" to 400,
            """{"model":"style-1","messages":[{"role":"user"}]}""" to 400,
            good.replace("}]", "}],\"max_tokens\":-1") to 400,
            good.replace("}]", "}],\"stream\":\"yes\"") to 400,
            good.replace("style-1", "unknown") to 404,
            "[".repeat(100_000) to 400
        )
        cases.forEach { (body, status) ->
            val response = post(test, body.toByteArray(), TestCluster.KEY)
            check(response.first == status) { "$body gave $response" }
            check("NotRun" in response.second) { response.second }
        }
        check(post(test, good.toByteArray(), "wrong").first == 401)
        check(
            post(test, byteArrayOf(0x22, 0xC3.toByte(), 0x28, 0x22), TestCluster.KEY).first == 400
        )
        check(post(test, ByteArray(4_100_000) { 'x'.code.toByte() }, TestCluster.KEY).first == 413)
        checkHealthy(test)
    }

    @Example
    fun `random bytes neither stop the node nor leak a request`() = TestCluster.run(1) { test ->
        val random = Random(20_261_204)
        repeat(200) {
            Socket("127.0.0.1", test.cluster.nodes[0].port).use { socket ->
                val out = socket.getOutputStream()
                val head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" +
                    "Authorization: Bearer ${TestCluster.KEY}\r\nContent-Length: 500\r\n\r\n"
                if (random.nextBoolean()) out.write(head.toByteArray())
                out.write(random.nextBytes(random.nextInt(700)))
                out.flush()
            }
        }
        checkHealthy(test)
    }

    @Example
    fun `callers that disconnect early release their slots`() = TestCluster.run(2) { test ->
        repeat(20) { index ->
            withTimeoutOrNull(60) { test.complete(index, "r $index [out=4000]", hugeOptions) }
        }
        test.await("streams cancelled") { test.cluster.nodes.all { it.runningDispatchCount == 0 } }
        checkHealthy(test)
        val targets = test.operator().status().nodes.flatMap { it.pools }.flatMap { it.targets }
        check(targets.all { it.inFlight == 0 }) { "$targets" }
    }

    private val hugeOptions = CallerClient.Options(maxTokens = 4_000)

    private suspend fun post(test: TestCluster, body: ByteArray, key: String): Pair<Int, String> {
        val response = test.http.post("${test.cluster.url(0)}/v1/chat/completions") {
            bearerAuth(key)
            header("Content-Type", "application/json")
            setBody(body)
        }
        return response.status.value to response.bodyAsText()
    }

    private suspend fun checkHealthy(test: TestCluster) {
        test.await("no request inside") { test.cluster.nodes.all { it.requestCount == 0 } }
        val response = test.complete(0, "still there? [out=5]")
        check(response.isComplete) { "$response" }
    }
}
