package org.bronzetide.scheduling

import org.bronzetide.model.CallerId
import org.bronzetide.model.CallerLimits

/** Enforces the limits of callers on requests, tokens and concurrency in one pool shard. */
public class CallerLimiter {
    private val usages = HashMap<CallerId, Usage>()

    /**
     * Admits a request of [tokens] estimated tokens and returns `null`. If a limit is reached,
     * returns the time in milliseconds after which a retry may be admitted.
     *
     * A request may take more tokens than are left, and the next ones wait until these are paid
     * back. If it had to wait for all of its tokens, smaller ones would take them first.
     */
    public fun admit(caller: CallerId, limits: CallerLimits, tokens: Double, nowMs: Long): Long? {
        val usage = usages.getOrPut(caller) { Usage() }
        usage.update(limits, nowMs)
        if (limits.concurrent != null && usage.concurrent >= limits.concurrent!!) {
            return CONCURRENCY_RETRY_MS
        }
        val waitMs = maxOf(
            usage.requests?.waitMs(1.0, nowMs) ?: 0,
            usage.tokens?.waitMs(LEAST_TOKENS, nowMs) ?: 0
        )
        if (waitMs > 0) return waitMs
        usage.requests?.tryConsume(1.0, nowMs)
        usage.tokens?.correct(tokens, nowMs)
        usage.concurrent++
        return null
    }

    /** Counts a request that an earlier arbiter admitted, without checking the limits. */
    public fun countAdmitted(caller: CallerId) {
        usages.getOrPut(caller) { Usage() }.concurrent++
    }

    /** Ends a request and corrects its charge by [excessTokens], actual minus estimated. */
    public fun end(caller: CallerId, excessTokens: Double, nowMs: Long) {
        val usage = usages[caller] ?: return
        usage.concurrent--
        usage.tokens?.correct(excessTokens, nowMs)
        if (usage.concurrent == 0 && usage.isUnlimited) usages.remove(caller)
    }

    private class Usage {
        var concurrent = 0
        var requests: TokenBucket? = null
        var tokens: TokenBucket? = null

        val isUnlimited: Boolean get() = requests == null && tokens == null

        fun update(limits: CallerLimits, nowMs: Long) {
            requests = requests.update(limits.requestsPerSecond, nowMs)
            tokens = tokens.update(limits.tokensPerSecond, nowMs)
        }

        private fun TokenBucket?.update(perSecond: Double?, nowMs: Long): TokenBucket? = when {
            perSecond == null -> null
            this != null && this.perSecond == perSecond -> this
            else -> TokenBucket(perSecond, maxOf(1.0, perSecond * BURST_SECONDS), nowMs, this)
        }
    }

    private companion object {
        const val CONCURRENCY_RETRY_MS = 1_000L
        const val BURST_SECONDS = 2.0

        /** The tokens that must be left to admit a request of any size. */
        const val LEAST_TOKENS = 1.0
    }
}
