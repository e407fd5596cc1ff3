package org.bronzetide.bench

import io.ktor.client.HttpClient
import java.util.concurrent.ConcurrentLinkedQueue
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.cli.CallerClient
import org.bronzetide.cli.CallerResponse
import org.bronzetide.cli.DevCluster
import org.bronzetide.standins.CHARS_PER_TOKEN

/**
 * Sends arrivals at their scheduled times, without waiting for earlier ones to finish (open loop),
 * and records their outcomes.
 */
internal class LoadRunner(http: HttpClient, private val urlOf: (Int) -> String) {
    private val client = CallerClient(http)
    private val outcomes = ConcurrentLinkedQueue<Outcome>()

    /** Sends all [arrivals] and returns their outcomes in the order of completion. */
    suspend fun run(arrivals: List<Arrival>): List<Outcome> = withContext(Dispatchers.Default) {
        val startedNanos = System.nanoTime()
        coroutineScope {
            for (arrival in arrivals) {
                val waitMs = arrival.atMs - (System.nanoTime() - startedNanos) / 1e6
                if (waitMs >= 1) delay(waitMs.toLong())
                launch { outcomes += send(arrival, startedNanos) }
            }
        }
        outcomes.toList()
    }

    private suspend fun send(arrival: Arrival, startedNanos: Long): Outcome {
        val sentNanos = System.nanoTime()
        val response =
            withTimeoutOrNull(arrival.deadlineMs * DEADLINE_FACTOR + CONNECT_ALLOWANCE_MS) {
                runCatching { execute(arrival) }.getOrNull()
            }
        val sentAtMs = (sentNanos - startedNanos) / 1e6
        return outcome(arrival, response, sentAtMs, (System.nanoTime() - sentNanos) / 1e6)
    }

    private suspend fun execute(arrival: Arrival): CallerResponse {
        val url = urlOf(arrival.node)
        val key = BenchIntent.keyOf(arrival.caller)
        val options = CallerClient.Options(
            isStreamed = arrival.outputTokens > STREAMING_THRESHOLD_TOKENS,
            maxTokens = MAX_TOKENS,
            tier = arrival.tier,
            deadlineMs = arrival.deadlineMs
        )
        val service = "$url/v1/services/${DevCluster.SERVICE_POOL}"
        return when (arrival.kind.service) {
            RequestKind.ServiceUse.NONE ->
                client.complete(url, key, BenchIntent.MODEL, prompt(arrival), options)

            RequestKind.ServiceUse.READ ->
                client.command("$service/status", key, "", options)

            RequestKind.ServiceUse.COMMAND -> {
                val body = """{"command":"${arrival.index}"}"""
                val keyed = options.copy(idempotencyKey = "command-${arrival.index}")
                client.command("$service/gates", key, body, keyed)
            }
        }
    }

    private fun prompt(arrival: Arrival): String {
        val shared = "house style ${arrival.prefixGroup} ".repeat(SHARED_PREFIX_REPEATS)
        val prefix = if (arrival.promptTokens * CHARS_PER_TOKEN > shared.length) shared else ""
        val text = "$prefix[out=${arrival.outputTokens}] request ${arrival.index} "
        return text.padEnd(arrival.promptTokens * CHARS_PER_TOKEN, 'x')
    }

    private fun outcome(
        arrival: Arrival,
        response: CallerResponse?,
        sentAtMs: Double,
        totalMs: Double
    ): Outcome {
        val isService = arrival.kind.service != RequestKind.ServiceUse.NONE
        val expected = (0 until arrival.outputTokens).joinToString("") { "$it " }
        return Outcome(
            arrival = arrival,
            requestId = response?.requestId.orEmpty(),
            status = response?.status ?: 0,
            verdict = response?.verdict ?: "none",
            reason = response?.reason.orEmpty(),
            isComplete = response?.isComplete == true,
            isCorrect = isService || response?.text == expected,
            sentAtMs = sentAtMs,
            firstByteMs = response?.firstByteMs ?: totalMs,
            totalMs = totalMs
        )
    }

    private companion object {
        const val DEADLINE_FACTOR = 2
        const val CONNECT_ALLOWANCE_MS = 50L
        const val STREAMING_THRESHOLD_TOKENS = 20
        const val MAX_TOKENS = 1_024
        const val SHARED_PREFIX_REPEATS = 32
    }
}
