package org.bronzetide.edge.soak

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** The kinds of requests that a soak sends. */
enum class SoakRequestKind(val path: String, val isIdempotent: Boolean) {
    SAFE("/safe/", true),
    UNSAFE("/unsafe/", false),
    RESUMABLE("/stream/", true),
    ONCE("/once/", false)
}

/**
 * Checks what callers and targets see against what the system promises, while a soak runs.
 *
 * Targets report each run, callers each final answer. A refusal's promise holds for good, so it is
 * checked again at the end.
 */
class SoakChecker {
    private val kinds = ConcurrentHashMap<String, SoakRequestKind>()
    private val executionCounts = ConcurrentHashMap<String, AtomicInteger>()
    private val refusedIds = ConcurrentHashMap.newKeySet<String>()

    /** What was broken, a line each. */
    val violations = ConcurrentLinkedQueue<String>()
    val servedCount = AtomicInteger()
    val refusedCount = AtomicInteger()
    val failedCount = AtomicInteger()

    /** A caller is about to send the request [id]. */
    fun onRequestSent(id: String, kind: SoakRequestKind) {
        kinds[id] = kind
    }

    /** A target begins to run a request. */
    fun onExecution(id: String, account: String?, forged: List<String>) {
        val kind = kinds[id]
        if (kind == null) violations += "unasked: a target runs $id, which nobody sent"
        if (account != ACCOUNT) violations += "unasked: $id runs for account $account"
        if (forged.isNotEmpty()) violations += "unasked: $id runs with the caller's $forged"
        val count = executionCounts.computeIfAbsent(id) { AtomicInteger() }.incrementAndGet()
        if (count > 1 && kind?.isIdempotent == false) violations += "twice: $id ran $count times"
        if (id in refusedIds &&
            kind?.isIdempotent == false
        ) {
            violations += "refused: $id ran afterwards"
        }
    }

    /** A caller got the whole answer [body] with [status] to the request [id]. */
    fun onResponse(id: String, status: Int, body: String) {
        when {
            status in 200..299 -> {
                servedCount.incrementAndGet()
                if (body != expectedBody(id)) violations += "mixed: $id got '${body.take(80)}'"
            }

            status == 429 || status == 503 || status == 408 || status == 421 -> {
                refusedCount.incrementAndGet()
                refusedIds += id
                if (kinds[id]?.isIdempotent == false && executionCounts.containsKey(id)) {
                    violations += "refused: $id was answered $status and ran"
                }
            }

            status == 401 || status == 403 || status == 404 ->
                violations += "denied: $id was answered $status"

            else -> failedCount.incrementAndGet()
        }
    }

    /** A caller's connection ended without a whole answer. */
    fun onIncompleteResponse() {
        failedCount.incrementAndGet()
    }

    /** The answer that any sound run of [id] gives. */
    fun expectedBody(id: String): String = when (kinds[id]) {
        SoakRequestKind.RESUMABLE, SoakRequestKind.ONCE -> (1..EVENTS_PER_STREAM).joinToString("") {
            eventText(id, it)
        }
        else -> "answer to $id"
    }

    fun eventText(id: String, number: Int): String = "id: $number\ndata: $id\n\n"

    companion object {
        const val ACCOUNT = "desk"
        const val EVENTS_PER_STREAM = 12
    }
}
