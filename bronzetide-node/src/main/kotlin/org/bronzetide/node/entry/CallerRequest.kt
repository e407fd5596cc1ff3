package org.bronzetide.node.entry

import io.opentelemetry.api.trace.Span
import org.bronzetide.coordination.StoredResponse
import org.bronzetide.coordination.Verdict
import org.bronzetide.model.CallerId
import org.bronzetide.model.ConfigObject
import org.bronzetide.model.PoolId
import org.bronzetide.model.RequestId
import org.bronzetide.model.RequestPolicy

/** A request that was authenticated, parsed and admitted. */
internal class CallerRequest(
    val id: RequestId,
    val caller: CallerId,
    val poolId: PoolId,
    val pool: ConfigObject.PoolObject,
    val policy: RequestPolicy,
    val content: RequestContent,
    val idempotencyKey: String?,
    /** The time by which the response must be complete, in milliseconds of the node's clock. */
    val deadlineAtMs: Long,
    val arrivedAtMs: Long,
    val span: Span
) {
    /** Whether the request is with a target now, or may have run at one. */
    @Volatile
    var mayHaveRun = false
}

/** How a request ended. */
internal class RequestOutcome(
    val verdict: Verdict,
    val response: StoredResponse? = null,
    val retryAfterMs: Long = 0,
    /** Whether [response] was stored by an earlier attempt with the same idempotency key. */
    val isReplayed: Boolean = false,
    /** Whether an earlier attempt with the same key is still running. */
    val isInProgress: Boolean = false,
    val message: String? = null
)
