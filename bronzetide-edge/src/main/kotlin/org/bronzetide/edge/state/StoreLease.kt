package org.bronzetide.edge.state

import java.util.concurrent.ThreadLocalRandom
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull
import kotlinx.serialization.json.put
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.platform.fleet.FleetStore
import org.bronzetide.platform.fleet.ObjectKinds
import org.bronzetide.platform.fleet.StoreEra
import org.bronzetide.platform.fleet.StoreResult
import org.bronzetide.platform.fleet.StoredObject

/**
 * A lease in the store, which at most one process holds at a time.
 *
 * The lease is an object of this system's own kind: its holder, the holder's token, and a count of
 * renewals. No host needs another one's clock. A holder's validity ends [durationMs] after its last
 * successful renewal was sent. A candidate takes the lease over by a conditional write after it
 * has seen the object unchanged for [durationMs] since a response was received, thus later.
 *
 * A change of the store's era ends the lease, since the write that acquired it may be lost. Others
 * may not have seen the change yet, so nobody takes a free lease, or one that it had written
 * itself, before it has known the era for [durationMs]. For the same reason an object whose token
 * is from an earlier era proves nothing: a write from before the restoration may have been executed
 * after it, on a revision that was issued again.
 *
 * Nothing runs in the background; call [tryHold] periodically. Any thread may call.
 */
internal class StoreLease(
    private val store: FleetStore,
    /** The name of the lease's object. */
    private val name: String,
    nodeName: String,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val metrics: EdgeMetrics,
    private val durationMs: Long = DEFAULT_DURATION_MS
) {
    /** Unique to this instance: the lease of an earlier process is not taken for its own. */
    private val holder =
        "$nodeName/" + ThreadLocalRandom.current().nextLong().toULong().toString(RADIX)
    private val mutex = Mutex()
    private var held: Held? = null
    private var observed: Observed? = null

    /** When a candidate reads the object next, in milliseconds on [clock]. */
    private var nextReadAtMs = Long.MIN_VALUE

    /** The greatest token that this process has seen. */
    private var lastToken = FencingToken.none

    /** A revision of the object, and since when it has been seen unchanged. */
    private class Observed(val revision: Long, val era: StoreEra?, val sinceMs: Long)

    /** The lease while this process holds it. Renewals extend the same instance. */
    inner class Held internal constructor(
        val token: FencingToken,
        internal var revision: Long,
        internal val era: StoreEra?,
        sentAtMs: Long
    ) {
        internal var renewals = 0L

        /** When the last successful renewal was sent. */
        @Volatile
        internal var renewedAtMs = sentAtMs

        @Volatile
        internal var isReleased = false

        /** Whether the lease is held at [nowMs] on the clock of the lease. */
        fun isValid(nowMs: Long): Boolean =
            !isReleased && store.era == era && nowMs < renewedAtMs + durationMs - MARGIN_MS
    }

    /**
     * Acquires or renews the lease if that is due, and returns it if this process holds it.
     *
     * Calls the store at most twice, and not at all between renewals: these, and the reads of a
     * candidate, are a third of the lease's duration apart.
     */
    suspend fun tryHold(): Held? = mutex.withLock {
        val current = held ?: return@withLock acquire()
        val nowMs = clock.nowMs()
        when {
            !current.isValid(nowMs) -> {
                onLost(current, if (store.era == current.era) "expired" else "era changed")
                acquire()
            }

            nowMs - current.renewedAtMs < intervalMs -> current

            else -> renew(current, mayRepeat = true)
        }
    }

    /**
     * Gives the lease up, so that another process can take it at once. If the store does not
     * respond, the lease expires.
     */
    suspend fun release() = mutex.withLock {
        val current = held ?: return@withLock
        held = null
        observed = null
        val wasValid = current.isValid(clock.nowMs())
        current.isReleased = true
        if (wasValid) {
            val spec = LeaseSpec(FREE, current.token, current.renewals + 1)
            store.replace(
                ObjectKinds.LEASES,
                name,
                spec.encode(),
                current.revision,
                current.era
            )
        }
        onEnd(current, "released")
    }

    private suspend fun renew(current: Held, mayRepeat: Boolean): Held? {
        val sentAtMs = clock.nowMs()
        val spec = LeaseSpec(holder, current.token, current.renewals + 1)
        val result = store.replace(
            ObjectKinds.LEASES,
            name,
            spec.encode(),
            current.revision,
            current.era
        )
        when (result) {
            is StoreResult.Done -> {
                current.revision = result.value.revision
                current.renewals = spec.renewals
                current.renewedAtMs = sentAtMs
            }

            is StoreResult.Conflict -> {
                val found = result.current ?: readBack() ?: return current.ifValid()
                if (!isOwnOrOlder(found, current)) return onLost(current, "taken over")
                // The response to an earlier renewal was lost, or a write of an earlier holder was
                // executed late. The time of neither is known, so the lease is renewed again.
                current.revision = found.revision
                current.renewals = maxOf(current.renewals, LeaseSpec.decode(found.body).renewals)
                if (mayRepeat && current.isValid(clock.nowMs())) return renew(current, false)
            }

            is StoreResult.EraChanged -> return onLost(current, "era changed")

            StoreResult.Compacted, StoreResult.TooLarge, is StoreResult.Unavailable -> Unit
        }
        return current.ifValid()
    }

    private fun Held.ifValid(): Held? = takeIf { it.isValid(clock.nowMs()) }

    private fun isOwnOrOlder(found: StoredObject, current: Held): Boolean {
        if (found.era != current.era) return false
        val spec = LeaseSpec.decode(found.body)
        return spec.token < current.token ||
            (spec.token == current.token && spec.holder == holder)
    }

    private suspend fun readBack(): StoredObject? =
        (store.read(ObjectKinds.LEASES, name) as? StoreResult.Done)?.value

    private suspend fun acquire(): Held? {
        val nowMs = clock.nowMs()
        if (nowMs < nextReadAtMs) return null
        nextReadAtMs = nowMs + intervalMs
        val found = when (val result = store.read(ObjectKinds.LEASES, name)) {
            is StoreResult.Done -> result.value
            is StoreResult.Failed -> return null
        }
        if (found == null) {
            observed = null
            return if (isEraSettled()) create() else null
        }
        val receivedAtMs = clock.nowMs()
        val since = observed?.takeIf { it.revision == found.revision && it.era == found.era }
            ?: Observed(found.revision, found.era, receivedAtMs).also { observed = it }
        val spec = LeaseSpec.decode(found.body)
        lastToken = maxOf(lastToken, spec.token)
        val isFree = spec.holder == FREE || spec.holder == holder
        val isOfThisEra = spec.token.eraNumber == (found.era?.number ?: 0)
        val mayTake = receivedAtMs - since.sinceMs >= durationMs ||
            (isFree && isOfThisEra && isEraSettled())
        return if (mayTake) takeOver(found) else null
    }

    /** Whether no holder can consider a lease from before the current era valid any more. */
    private fun isEraSettled(): Boolean {
        val sinceMs = store.eraSinceMs ?: return true
        return clock.nowMs() - sinceMs >= durationMs
    }

    private suspend fun create(): Held? {
        val era = store.era
        val spec = LeaseSpec(holder, lastToken.next(era), renewals = 0)
        val sentAtMs = clock.nowMs()
        return onAttempt(
            store.create(ObjectKinds.LEASES, name, spec.encode(), era),
            Held(spec.token, 0, era, sentAtMs)
        )
    }

    private suspend fun takeOver(found: StoredObject): Held? {
        val spec = LeaseSpec(holder, lastToken.next(found.era), renewals = 0)
        val sentAtMs = clock.nowMs()
        return onAttempt(
            store.replace(ObjectKinds.LEASES, name, spec.encode(), found.revision, found.era),
            Held(spec.token, found.revision, found.era, sentAtMs)
        )
    }

    private fun onAttempt(result: StoreResult<StoredObject>, attempt: Held): Held? = when (result) {
        is StoreResult.Done -> {
            attempt.revision = result.value.revision
            lastToken = attempt.token
            held = attempt
            observed = null
            log.stateChange(
                "lease acquired",
                "lease" to name,
                "token" to attempt.token.value,
                "era" to attempt.era?.number
            )
            metrics.onLeaseChange("acquired")
            attempt.ifValid()
        }

        // If the write was executed after all, the object that is read next has this holder.
        is StoreResult.Failed -> {
            nextReadAtMs = clock.nowMs() + RETRY_MS
            null
        }
    }

    private fun onLost(lost: Held, reason: String): Held? {
        held = null
        observed = null
        nextReadAtMs = Long.MIN_VALUE
        lost.isReleased = true
        onEnd(lost, reason)
        return null
    }

    private fun onEnd(ended: Held, reason: String) {
        log.stateChange(
            "lease ended",
            "lease" to name,
            "reason" to reason,
            "token" to ended.token.value,
            "era" to ended.era?.number
        )
        metrics.onLeaseChange(reason)
    }

    private val intervalMs get() = durationMs / INTERVALS

    private data class LeaseSpec(val holder: String, val token: FencingToken, val renewals: Long) {
        fun encode(): JsonObject = buildJsonObject {
            put("holder", holder)
            put("token", token.value)
            put("renewals", renewals)
        }

        companion object {
            /** Decodes [body]; an unusable one counts as held by an unknown process. */
            fun decode(body: JsonObject): LeaseSpec {
                fun field(name: String) = body[name] as? JsonPrimitive
                return LeaseSpec(
                    field("holder")?.contentOrNull ?: "unknown",
                    FencingToken(field("token")?.longOrNull ?: 0),
                    field("renewals")?.longOrNull ?: 0
                )
            }
        }
    }

    companion object {
        /**
         * Three calls to the store, each of which may take a second, fit into it, so that one lost
         * response does not end the lease.
         */
        const val DEFAULT_DURATION_MS = 3_000L

        /** The time within which an action begins that is allowed by [Held.isValid]. */
        private const val MARGIN_MS = 100L

        /** The renewals in one duration. */
        private const val INTERVALS = 3

        /** The wait before a write that failed is read back, in milliseconds. */
        private const val RETRY_MS = 150L

        /** The holder of a released lease. */
        private const val FREE = ""
        private const val RADIX = 36
    }
}
