package org.bronzetide.edge.belief

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
internal class StoreFollower(
    private val kind: String,
    private val store: FleetStore,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val metrics: EdgeMetrics,
    private val observer: Observer
) {
    private var failingSinceMs: Long? = null

    /** Takes what the follower finds. */
    interface Observer {
        suspend fun onListing(listing: Listing)

        suspend fun onChanges(changes: Changes)

        /** The store answered again after it had not since [sinceMs]. */
        suspend fun onStoreBack(sinceMs: Long) = Unit
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
            when (val result = store.watch(kind, revision, WATCH_MS)) {
                is StoreResult.Done -> {
                    onAnswer()
                    failures = 0
                    observer.onChanges(result.value)
                    revision = result.value.revision
                }

                is StoreResult.Unavailable -> {
                    onFailure(result.detail)
                    if (++failures >= FAILURES_TO_RELIST) return
                }

                StoreResult.Compacted, StoreResult.Conflict -> {
                    log.belief("history lost", "kind" to kind, "revision" to revision)
                    return
                }
            }
        }
    }

    private suspend fun onAnswer() {
        val sinceMs = failingSinceMs ?: return
        failingSinceMs = null
        val lastedMs = clock.nowMs() - sinceMs
        log.belief("dependency regained", "dependency" to "store", "kind" to kind, "ms" to lastedMs)
        observer.onStoreBack(sinceMs)
    }

    private suspend fun onFailure(detail: String) {
        metrics.onStoreFailure()
        if (failingSinceMs == null) {
            failingSinceMs = clock.nowMs()
            log.belief(
                "dependency lost",
                "dependency" to "store",
                "kind" to kind,
                "detail" to detail
            )
        }
        delay(RETRY_MS + Random.nextLong(RETRY_MS))
    }

    private companion object {
        /** Short of the bounds on drains and manifests, so that a silent watch breaks neither. */
        const val WATCH_MS = 2_500L
        const val RETRY_MS = 150L
        const val FAILURES_TO_RELIST = 2
    }
}
