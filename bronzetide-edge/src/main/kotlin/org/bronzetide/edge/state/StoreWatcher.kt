package org.bronzetide.edge.state

import kotlin.random.Random
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.platform.fleet.Changes
import org.bronzetide.platform.fleet.FleetStore
import org.bronzetide.platform.fleet.Listing
import org.bronzetide.platform.fleet.StoreResult

/**
 * Follows the objects of one kind: lists them, then watches for changes, and starts over whenever
 * the store forgot its history or did not answer.
 *
 * Watches are short, so that a connection that fell silent is noticed.
 */
internal class StoreWatcher(
    private val kind: String,
    private val store: FleetStore,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val metrics: EdgeMetrics,
    private val observer: Observer
) {
    private var failingSinceMs: Long? = null
    private var failuresInRow = 0

    /** Takes what the follower finds. */
    interface Observer {
        suspend fun onListing(listing: Listing)

        suspend fun onChanges(changes: Changes)

        /** The store answered again after it had not since [sinceMs]. */
        suspend fun onStoreAvailable(sinceMs: Long) = Unit
    }

    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            try {
                listAndWatch()
            } catch (cause: CancellationException) {
                throw cause
            } catch (cause: RuntimeException) {
                // Whatever an answer holds, the process must not stop to follow the store.
                log.failure("store answer unusable", cause, "kind" to kind)
                onFailure(cause.toString())
            }
        }
    }

    private suspend fun listAndWatch() {
        when (val result = store.list(kind)) {
            is StoreResult.Done -> {
                onAnswer()
                observer.onListing(result.value)
                watchFrom(result.value.revision)
            }

            is StoreResult.Unavailable -> onFailure(result.detail)

            StoreResult.Compacted, StoreResult.Conflict -> onFailure("unexpected status")
        }
    }

    private suspend fun watchFrom(start: Long) {
        var revision = start
        var failures = 0
        while (true) {
            // A watch that began in an outage would hang for its whole time after the end of it.
            val waitMs = if (failures == 0) WATCH_MS else PROBE_MS
            when (val result = store.watch(kind, revision, waitMs)) {
                is StoreResult.Done -> {
                    onAnswer()
                    failures = 0
                    observer.onChanges(result.value)
                    revision = result.value.revision
                    // Changes come in series, and each answered watch is a call of every host.
                    if (!result.value.isEmpty) delay(SERIES_MS)
                }

                is StoreResult.Unavailable -> {
                    onFailure(result.detail)
                    if (++failures >= FAILURES_TO_RELIST) return
                }

                StoreResult.Compacted, StoreResult.Conflict -> {
                    log.stateChange("history lost", "kind" to kind, "revision" to revision)
                    return
                }
            }
        }
    }

    private suspend fun onAnswer() {
        failuresInRow = 0
        val sinceMs = failingSinceMs ?: return
        failingSinceMs = null
        val lastedMs = clock.nowMs() - sinceMs
        log.stateChange(
            "dependency regained",
            "dependency" to "store",
            "kind" to kind,
            "ms" to lastedMs
        )
        observer.onStoreAvailable(sinceMs)
    }

    private suspend fun onFailure(detail: String) {
        metrics.onStoreFailure()
        if (failingSinceMs == null) {
            failingSinceMs = clock.nowMs()
            log.stateChange(
                "dependency lost",
                "dependency" to "store",
                "kind" to kind,
                "detail" to detail
            )
        }
        val waitMs = (RETRY_MS shl failuresInRow.coerceAtMost(MAX_DOUBLINGS))
        failuresInRow++
        delay(waitMs + Random.nextLong(waitMs))
    }

    private companion object {
        /** Short of the bounds on drains and manifests, so that a silent watch breaks neither. */
        const val WATCH_MS = 3_000L

        /** The store's return is noticed within 2.5 s: 1.2 s of waits and 1.2 s of a call. */
        const val PROBE_MS = 200L

        /** Well under the bounds on drains and manifests, 2 s. */
        const val SERIES_MS = 400L
        const val RETRY_MS = 150L

        /** Waits end under 1.2 s, as the bounds run again 3 s after an outage. */
        const val MAX_DOUBLINGS = 2
        const val FAILURES_TO_RELIST = 2
    }
}
