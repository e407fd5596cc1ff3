package org.bronzetide.node

import java.io.IOException
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Runs [block] and returns its result.
 *
 * @throws IOException if it takes longer than [timeoutMs]; unlike a cancellation it can be handled.
 */
internal suspend fun <T : Any> withIoTimeout(
    timeoutMs: Long,
    operation: String,
    block: suspend () -> T
): T = withTimeoutOrNull(timeoutMs) { block() }
    ?: throw IOException("$operation took over $timeoutMs ms")
