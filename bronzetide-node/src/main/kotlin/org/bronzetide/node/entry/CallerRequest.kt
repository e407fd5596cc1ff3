package org.bronzetide.node.entry

import io.opentelemetry.api.trace.Span
import org.bronzetide.coordination.StoredResponse
import org.bronzetide.coordination.Verdict
import org.bronzetide.model.CallerId
import org.bronzetide.model.ConfigObject
import org.bronzetide.model.PoolId
import org.bronzetide.model.RequestId
import org.bronzetide.model.RequestPolicy

/** A request that was authenticated and understood. */
internal class CallerRequest(
    val id: RequestId,
    val caller: CallerId,
    val poolId: PoolId,
    val pool: ConfigObject.PoolObject,
    val policy: RequestPolicy,
    val content: RequestContent,
    val idempotencyKey: String?,
    /** The time by which the answer must be complete, on the node's clock. */
    val deadlineAtMs: Long,
    val arrivedAtMs: Long,
    val span: Span
)

/** How a request ended. */
internal class RequestOutcome(
    val verdict: Verdict,
    val response: StoredResponse? = null,
    val retryAfterMs: Long = 0,
    /** Whether an earlier attempt with the same idempotency key gave this answer. */
    val isReplayed: Boolean = false,
    /** Whether an earlier attempt with the same key is still running. */
    val isInProgress: Boolean = false,
    val message: String? = null
)
