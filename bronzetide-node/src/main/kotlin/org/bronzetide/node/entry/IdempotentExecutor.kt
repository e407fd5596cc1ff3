package org.bronzetide.node.entry

import java.util.UUID
import kotlinx.coroutines.delay
import org.bronzetide.coordination.ClaimReply
import org.bronzetide.coordination.KeyAuthority
import org.bronzetide.coordination.KeyClaim
import org.bronzetide.coordination.KeyOutcome
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.NodeId
import org.bronzetide.coordination.RefusalReason
import org.bronzetide.coordination.Verdict
import org.bronzetide.node.idempotency.IdempotencyKeyService

/**
 * Runs requests with an idempotency key at most once, and responds to their retries with the
 * stored outcome.
 */
internal class IdempotentExecutor(
    private val self: NodeId,
    private val keys: IdempotencyKeyService,
    private val clock: MonotonicClock
) {
    /**
     * Runs [block] if the key of [request] can be claimed, and reports the outcome to the owner of
     * the key. [block] receives the time up to which the claim may be used, in milliseconds of the
     * node's clock. An earlier attempt in progress is awaited for up to [MAX_WAIT_MS].
     */
    suspend fun run(
        request: CallerRequest,
        block: suspend (Long) -> RequestOutcome
    ): RequestOutcome {
        val fingerprint = KeyDigest.of("${request.poolId}\n${request.content.identity()}")
        val abandoned = ArrayList<String>()
        val waitUntilMs = minOf(request.deadlineAtMs, clock.nowMs() + MAX_WAIT_MS)
        while (true) {
            val sentAtMs = clock.nowMs()
            val claim = KeyClaim(
                key = "${request.caller}/${request.idempotencyKey}",
                fingerprint = fingerprint,
                claimant = self,
                attempt = UUID.randomUUID().toString(),
                superseded = abandoned.toList()
            )
            when (val reply = keys.claim(claim)) {
                is ClaimReply.Granted -> return runClaimed(claim, sentAtMs + CLAIM_VALID_MS, block)

                is ClaimReply.Held -> if (!shouldWait(reply, waitUntilMs)) return heldOutcome(reply)

                is ClaimReply.HistoryUnknown -> return RequestOutcome(
                    Verdict.MayHaveRun("this attempt did not run; an earlier one may have")
                )

                is ClaimReply.Unavailable -> {
                    abandoned += claim.attempt
                    keys.reportOutcome(claim, outcome = null)
                    if (clock.nowMs() >= request.deadlineAtMs) return unavailable()
                }
            }
            delay(POLL_INTERVAL_MS)
        }
    }

    private suspend fun runClaimed(
        claim: KeyClaim,
        validUntilMs: Long,
        block: suspend (Long) -> RequestOutcome
    ): RequestOutcome {
        var ended: RequestOutcome? = null
        try {
            return block(validUntilMs).also { ended = it }
        } finally {
            keys.reportOutcome(claim, finishedOutcome(ended))
        }
    }

    private fun finishedOutcome(ended: RequestOutcome?): KeyOutcome.Finished? {
        val verdict = ended?.verdict ?: Verdict.MayHaveRun("the attempt broke off")
        if (verdict is Verdict.NotRun) return null
        val stored = ended?.response?.takeIf { it.body.length <= MAX_STORED_CHARS }
        return KeyOutcome.Finished(verdict, stored)
    }

    private fun shouldWait(reply: ClaimReply.Held, waitUntilMs: Long): Boolean =
        reply.fingerprintMatches &&
            reply.outcome is KeyOutcome.Pending &&
            clock.nowMs() < waitUntilMs

    private fun heldOutcome(key: ClaimReply.Held): RequestOutcome {
        if (!key.fingerprintMatches) return RequestOutcome(Verdict.NotRun(RefusalReason.KEY_REUSED))
        return when (val outcome = key.outcome) {
            is KeyOutcome.Pending -> RequestOutcome(
                Verdict.MayHaveRun("an earlier attempt is in progress"),
                isInProgress = true
            )

            is KeyOutcome.Finished -> RequestOutcome(
                outcome.verdict,
                outcome.response,
                isReplayed = true
            )
        }
    }

    private fun unavailable() = RequestOutcome(
        Verdict.NotRun(RefusalReason.KEY_AUTHORITY),
        retryAfterMs = RETRY_AFTER_MS
    )

    private fun RequestContent.identity(): String = when (this) {
        is RequestContent.Completion -> body.toString()
        is RequestContent.ServiceRequest -> "$method $path?$query\n$body"
    }

    private companion object {
        /** Half the retention of keys, so that no dispatch starts after its claim has expired. */
        const val CLAIM_VALID_MS = KeyAuthority.DEFAULT_RETENTION_MS / 2
        const val MAX_WAIT_MS = 3_000L
        const val POLL_INTERVAL_MS = 100L
        const val RETRY_AFTER_MS = 2_000L
        const val MAX_STORED_CHARS = 32_000
    }
}
