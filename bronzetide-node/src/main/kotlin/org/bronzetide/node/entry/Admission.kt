package org.bronzetide.node.entry

import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.opentelemetry.api.trace.Span
import java.util.concurrent.atomic.AtomicLong
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.NodeId
import org.bronzetide.coordination.RefusalReason
import org.bronzetide.model.CallerId
import org.bronzetide.model.ConfigObject
import org.bronzetide.model.Configuration
import org.bronzetide.model.IntentValidator
import org.bronzetide.model.PoolId
import org.bronzetide.model.RequestId
import org.bronzetide.model.RequestPolicy
import org.bronzetide.model.Tier

/** Authenticates callers and applies the operators' configuration to their requests. */
internal class Admission(
    private val self: NodeId,
    private val clock: MonotonicClock,
    private val configuration: () -> Configuration
) {
    private val requests = AtomicLong()

    /** Returns a new identifier, unique across nodes and their restarts. */
    fun newRequestId(): RequestId = RequestId("$self-${requests.incrementAndGet()}")

    /** The caller whose bearer key [call] carries, or `null` if there is none. */
    fun callerOf(call: ApplicationCall): CallerId? {
        val bearer = call.request.header(HttpHeaders.Authorization).orEmpty()
        if (!bearer.startsWith(BEARER)) return null
        val digest = KeyDigest.of(bearer.removePrefix(BEARER))
        val current = configuration()
        val caller = current.callerByDigest(digest) ?: return null
        return caller.takeIf { KeyDigest.matches(current.callers.getValue(it).keySha256, digest) }
    }

    /** The pool that serves [model], or `null`. */
    fun poolOfModel(model: String): PoolId? = configuration().poolOfModel(model)

    /** The service pool named [name], or `null` if there is none or it has no operations. */
    fun servicePool(name: String): Pair<PoolId, ConfigObject.PoolObject>? {
        val id = PoolId(name)
        val pool = configuration().pools[id]?.takeIf { it.operations.isNotEmpty() } ?: return null
        return id to pool
    }

    /**
     * Reads the tier, deadline and idempotency key from the headers of [call], and combines them
     * with the rules that apply to [caller] and [content] in [poolId].
     */
    fun admit(
        call: ApplicationCall,
        id: RequestId,
        caller: CallerId,
        poolId: PoolId,
        content: RequestContent,
        span: Span
    ): AdmitResult {
        val current = configuration()
        val pool = current.pools[poolId]
        if (pool == null || caller !in current.callers) {
            return AdmitResult.Refused(RefusalReason.UNKNOWN_POOL, "the pool is gone")
        }
        val tier = tierOf(call) ?: return invalid(HeaderNames.TIER, "from 1 to 4")
        val deadline = deadlineOf(call)
            ?: return invalid(
                HeaderNames.DEADLINE_MS,
                "from 1 to ${IntentValidator.MAX_DEADLINE_MS}"
            )
        val key = call.request.header(HeaderNames.IDEMPOTENCY_KEY)
        if (key != null && key.length !in 1..MAX_KEY_CHARS) {
            return invalid(HeaderNames.IDEMPOTENCY_KEY, "of 1 to $MAX_KEY_CHARS characters")
        }
        val policy = RequestPolicy.of(current, caller, poolId, content.operation, tier.value)
        val nowMs = clock.nowMs()
        val deadlineMs = deadline.value ?: policy.deadlineMs
        return AdmitResult.Admitted(
            CallerRequest(
                id,
                caller,
                poolId,
                pool,
                policy,
                content,
                key,
                deadlineAtMs = nowMs + deadlineMs,
                arrivedAtMs = nowMs,
                span
            )
        )
    }

    private fun tierOf(call: ApplicationCall): HeaderValue<Tier>? {
        val text = call.request.header(HeaderNames.TIER) ?: return HeaderValue(null)
        val level = text.toIntOrNull() ?: return null
        return if (level in Tier.MOST_URGENT..Tier.LEAST_URGENT) HeaderValue(Tier(level)) else null
    }

    private fun deadlineOf(call: ApplicationCall): HeaderValue<Long>? {
        val text = call.request.header(HeaderNames.DEADLINE_MS) ?: return HeaderValue(null)
        val valueMs = text.toLongOrNull() ?: return null
        return if (valueMs in 1..IntentValidator.MAX_DEADLINE_MS) HeaderValue(valueMs) else null
    }

    private fun invalid(header: String, range: String) =
        AdmitResult.Refused(RefusalReason.INVALID, "$header must be $range")

    /** A valid header, whose [value] is `null` if the request does not set it. */
    private class HeaderValue<T>(val value: T?)

    /** The result of [admit]. */
    sealed class AdmitResult {
        class Admitted(val request: CallerRequest) : AdmitResult()

        class Refused(val reason: RefusalReason, val message: String) : AdmitResult()
    }

    private companion object {
        const val BEARER = "Bearer "
        const val MAX_KEY_CHARS = 200
    }
}
