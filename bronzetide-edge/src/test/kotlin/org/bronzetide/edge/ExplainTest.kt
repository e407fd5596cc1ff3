package org.bronzetide.edge

import java.net.URLEncoder
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.http.Header
import org.bronzetide.http.OutgoingRequest

/** `GET /explain` of one node. Guards against explanations that differ from what callers get. */
class ExplainTest {
    private val environment = EdgeTestEnvironment()

    @AfterTry
    fun close() = environment.close()

    @Example
    fun requestThatCanBeSentNamesItsTarget() {
        environment.startSoundTarget("t1")
        start()
        val explanation = explain("/safe/x")
        assertThat(explanation.text("route")).isEqualTo("safe")
        assertThat(explanation.text("account")).isEqualTo("desk")
        val service = explanation.service()
        assertThat(service.text("verdict")).isEqualTo("send")
        assertThat(service.text("target")).isEqualTo("t1")
        assertThat(service.getValue("candidates").jsonArray).hasSize(1)
    }

    @Example
    fun refusalsAreThoseOfRequests() {
        environment.startSoundTarget("t1")
        start()
        listOf("/none/" to "key-1", "/safe/" to "no", "/safe/" to null).forEach { (path, key) ->
            val headers = listOfNotNull(key?.let { Header("X-Api-Key", it) })
            val refusal = explain(path, key).getValue("refusal").jsonObject
            assertThat(refusal.text("status"))
                .isEqualTo("${environment.ask(path, headers).status}")
        }
    }

    /** Guards against a 429 that the explanation does not announce. */
    @Example
    fun exhaustedQuotaIsExplained() {
        environment.startSoundTarget("t1")
        start()
        val large = listOf(Header("X-Api-Key", "key-1"), Header("Token-Usage", "400000,1"))
        var statuses = emptyList<Int>()
        withDeadline {
            while (429 !in statuses) statuses = statuses + environment.ask("/safe/", large).status
        }
        val explanation = explain("/safe/", query = "&prompt_tokens=400000")
        assertThat(explanation.getValue("refusal").jsonObject.text("status")).isEqualTo("429")
    }

    /** Guards against an explanation that takes a slot, sends a request or uses up quota. */
    @Example
    fun explanationsConsumeNothing() {
        environment.startSoundTarget("t1")
        start()
        assertThat(environment.ask("/safe/").status).isEqualTo(200)
        val before = explain("/safe/", query = "&prompt_tokens=90000")
        repeat(50) { explain("/safe/", query = "&prompt_tokens=90000") }
        val after = explain("/safe/", query = "&prompt_tokens=90000")
        assertThat(after.service().text("verdict")).isEqualTo("send")
        assertThat(after.service()["candidates"]).isEqualTo(before.service()["candidates"])
        val (levelBefore, levelAfter) = listOf(before, after).map {
            it.getValue("quota").jsonObject.text("level").toDouble()
        }
        assertThat(levelAfter).isGreaterThanOrEqualTo(levelBefore)
        assertThat(environment.arrivals).hasSize(1)
        assertThat(environment.ask("/safe/").status).isEqualTo(200)
    }

    @Example
    fun fullTargetIsNamedAsTheReasonToWait() {
        val mayRespond = CompletableDeferred<Unit>()
        environment.startTarget("t1") { request, connection ->
            mayRespond.await()
            EdgeTestEnvironment.sendSignedResponse(request, connection)
        }
        start()
        runBlocking {
            val requests = List(SLOTS) {
                async(kotlinx.coroutines.Dispatchers.IO) { environment.ask("/safe/").status }
            }
            withTimeout(5_000) {
                while (environment.arrivals.size < SLOTS) kotlinx.coroutines.delay(5)
            }
            val service = explain("/safe/").service()
            mayRespond.complete(Unit)
            assertThat(service.text("verdict")).isEqualTo("wait")
            assertThat(service.text("reason")).isEqualTo("a free slot")
            requests.forEach { assertThat(it.await()).isEqualTo(200) }
        }
    }

    @Example
    fun processWithoutAManifestSaysSo() {
        runBlocking { environment.node.start() }
        val refusal = explain("/safe/").getValue("refusal").jsonObject
        assertThat(refusal.text("reason")).isEqualTo("no manifest yet")
    }

    @Example
    fun invalidParametersAreNamed() {
        start()
        val invalid = mapOf(
            "" to "path",
            "path=/x" to "host",
            "path=x&host=h" to "path",
            "path=/x&host=h&method=get" to "method",
            "path=/x&host=h&prompt_tokens=-1" to "prompt_tokens",
            "path=/x&host=h&max_output_tokens=many" to "max_output_tokens",
            "path=/x&host=h&colour=red" to "colour",
            "path=/x&host=%zz" to ""
        )
        invalid.forEach { (query, named) ->
            val (status, body) = get("/explain?$query", null)
            assertThat(status).describedAs(query).isEqualTo(400)
            assertThat(body).contains(named)
        }
    }

    private fun start() {
        environment.writeManifest()
        environment.start()
    }

    private fun explain(path: String, key: String? = "key-1", query: String = ""): JsonObject {
        val encoded = URLEncoder.encode(path, Charsets.UTF_8)
        val (status, body) = get("/explain?host=h.example&path=$encoded$query", key)
        assertThat(status).describedAs(body).isEqualTo(200)
        return Json.parseToJsonElement(body).jsonObject
    }

    private fun get(target: String, key: String?): Pair<Int, String> = runBlocking {
        environment.pool.open("127.0.0.1", environment.settings.controlAddress.port).use {
            val headers = listOfNotNull(key?.let { value -> Header("X-Api-Key", value) })
            it.send(OutgoingRequest("GET", target, headers))
            val response = it.receive()
            response.status to response.body.readAll(1_000_000).decodeToString()
        }
    }

    private fun withDeadline(block: () -> Unit) = runBlocking {
        withTimeout(5_000) { kotlinx.coroutines.runInterruptible(block = block) }
    }

    private fun JsonObject.text(name: String) = getValue(name).jsonPrimitive.content
    private fun JsonObject.service() = getValue("services").jsonArray.single().jsonObject

    private companion object {
        /** The slots of the environment's targets. */
        const val SLOTS = 8
    }
}
