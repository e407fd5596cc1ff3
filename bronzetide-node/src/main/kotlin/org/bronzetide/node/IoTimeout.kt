package org.bronzetide.node

import java.io.IOException
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Runs [block] and returns its result.
 *
 * @throws IOException if it takes longer than [limitMs]; unlike a cancellation it can be handled.
 */
internal suspend fun <T : Any> withIoTimeout(
    limitMs: Long,
    what: String,
    block: suspend () -> T
): T = withTimeoutOrNull(limitMs) { block() } ?: throw IOException("$what took over $limitMs ms")
