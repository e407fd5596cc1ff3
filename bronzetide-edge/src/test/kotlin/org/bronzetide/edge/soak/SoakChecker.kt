package org.bronzetide.edge.soak

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** The kinds of requests that a soak sends, by the route that they take. */
enum class SoakRequestKind(val path: String, val isRetryable: Boolean) {
    SAFE("/safe/", true),
    UNSAFE("/unsafe/", false),
    RESUMABLE("/stream/", true),
    ONCE("/once/", false)
}

/**
 * Checks the observations of callers and targets against the system's guarantees during a soak.
 *
 * Targets report each execution and callers each final response. A refused request that is not
 * idempotent must never run, so executions before and after the refusal are both reported.
 */
class SoakChecker {
    private val kinds = ConcurrentHashMap<String, SoakRequestKind>()
    private val executionCounts = ConcurrentHashMap<String, AtomicInteger>()
    private val refused = ConcurrentHashMap.newKeySet<String>()

    /** The violated guarantees, one line each. */
    val violations = ConcurrentLinkedQueue<String>()

    /** Responses with a 2xx status. */
    val servedCount = AtomicInteger()

    /** Refusals, which promise that the request did not run. */
    val refusedCount = AtomicInteger()

    /** Other responses and connections that ended before the response was complete. */
    val failedCount = AtomicInteger()

    /** Records that a caller is about to send the request [id]. */
    fun onRequestSent(id: String, kind: SoakRequestKind) {
        kinds[id] = kind
    }

    /**
     * Records that a target starts to execute the request [id] for [account]; [forged] names the
     * headers whose values were set by the caller and should have been replaced.
     */
    fun onExecution(id: String, account: String?, forged: List<String>) {
        val kind = kinds[id]
        if (kind == null) violations += "unasked: a target runs $id, which nobody sent"
        if (account != ACCOUNT) violations += "unasked: $id runs for account $account"
        if (forged.isNotEmpty()) violations += "unasked: $id runs with the caller's $forged"
        val count = executionCounts.computeIfAbsent(id) { AtomicInteger() }.incrementAndGet()
        if (count > 1 && kind?.isRetryable == false) violations += "twice: $id ran $count times"
        if (id in refused && kind?.isRetryable == false) violations += "refused: $id ran afterwards"
    }

    /** Records that a caller received the complete response to the request [id]. */
    fun onResponse(id: String, status: Int, body: String) {
        when {
            status in 200..299 -> {
                servedCount.incrementAndGet()
                if (body != expectedBody(id)) violations += "mixed: $id got '${body.take(80)}'"
            }

            status == 429 || status == 503 || status == 408 || status == 421 -> {
                refusedCount.incrementAndGet()
                refused += id
                if (kinds[id]?.isRetryable == false && executionCounts.containsKey(id)) {
                    violations += "refused: $id was answered $status and ran"
                }
            }

            status == 401 || status == 403 || status == 404 ->
                violations += "denied: $id was answered $status"

            else -> failedCount.incrementAndGet()
        }
    }

    /** Records that a connection failed or timed out before the response was complete. */
    fun onIncompleteResponse() {
        failedCount.incrementAndGet()
    }

    /** The response body of every correct execution of [id]. */
    fun expectedBody(id: String): String = when (kinds[id]) {
        SoakRequestKind.RESUMABLE, SoakRequestKind.ONCE -> (1..EVENTS_PER_STREAM).joinToString("") {
            eventText(id, it)
        }
        else -> "answer to $id"
    }

    /** The server-sent event [number] of the stream that responds to [id]. */
    fun eventText(id: String, number: Int): String = "id: $number\ndata: $id\n\n"

    companion object {
        /** The account of all requests. */
        const val ACCOUNT = "desk"

        /** The number of events of each streamed response. */
        const val EVENTS_PER_STREAM = 12
    }
}
