package org.bronzetide.node

import java.io.IOException
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Runs [block] and returns its result.
 *
 * Unlike `withTimeout`, it reports a timeout as an [IOException] and not as a cancellation, so
 * that callers can handle it like any other I/O error.
 *
 * @param operation names the operation in the error message
 * @throws IOException if [block] takes longer than [timeoutMs] milliseconds
 */
internal suspend fun <T : Any> withIoTimeout(
    timeoutMs: Long,
    operation: String,
    block: suspend () -> T
): T = withTimeoutOrNull(timeoutMs) { block() }
    ?: throw IOException("$operation took over $timeoutMs ms")
