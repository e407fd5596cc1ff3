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
import org.bronzetide.platform.fleet.HostSettings
import org.bronzetide.platform.fleet.Listing
import org.bronzetide.platform.fleet.StoreResult

/**
 * Watches the objects of one kind: lists them, then watches for changes, and lists again whenever
 * the store has compacted its history, repeatedly did not respond, was restored from a snapshot, or
 * reports more changes than can be held. An incomplete listing is repeated after a while.
 * A restoration is noticed by the first response to any call of the process, which ends the watch
 * that is waiting.
 *
 * The connections to the store must be probed, as a silent one ends a watch only after its wait.
 */
internal class StoreWatcher(
    private val kind: String,
    private val store: FleetStore,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val metrics: EdgeMetrics,
    /** How long one watch waits for changes, in milliseconds; see [watchMsWithin]. */
    private val watchMs: Long,
    private val observer: Observer
) {
    private var failingSinceMs: Long? = null
    private var callStartedAtMs = 0L
    private var lastFailureAtMs = 0L
    private var failuresInRow = 0
    private var incompleteInRow = 0

    /** The listings that were begun again since the last watch that succeeded. */
    private var relistsInRow = 0

    /** The latest listing that was passed on; `null` before the first one. */
    private var listed: Listing? = null

    /** Receives the listings and changes. */
    interface Observer {
        suspend fun onListing(listing: Listing)

        suspend fun onChanges(changes: Changes)

        /**
         * The store is available again; the last call that failed began at [lastFailureAtMs].
         * Called before the state that was read.
         */
        suspend fun onStoreAvailable(lastFailureAtMs: Long) = Unit

        /**
         * The store was restored from a snapshot since the last listing; the next call is
         * [onListing] with its state, in which the latest writes may be missing.
         */
        suspend fun onStoreRestored() = Unit
    }

    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            try {
                listAndWatch()
            } catch (cause: CancellationException) {
                throw cause
            } catch (cause: Throwable) {
                // Neither a malformed response nor an Error, such as a stack overflow, may end the
                // watch of the store: nothing would start it again.
                log.failure("store response not usable", cause, "kind" to kind)
                onFailure(cause.toString())
            }
        }
    }

    private suspend fun listAndWatch() {
        callStartedAtMs = clock.nowMs()
        when (val result = store.list(kind)) {
            is StoreResult.Done -> {
                onSuccess()
                val before = listed
                if (before != null && before.era != result.value.era) {
                    log.stateChange(
                        "listed after a restoration",
                        "kind" to kind,
                        "era" to result.value.era?.number,
                        "revision" to result.value.revision,
                        "revisionBefore" to before.revision,
                        "count" to result.value.objects.size
                    )
                    observer.onStoreRestored()
                }
                onListingEnd(result.value)
                observer.onListing(result.value)
                listed = result.value
                watchFrom(result.value)
            }

            is StoreResult.Unavailable -> onFailure(result.detail)

            StoreResult.Compacted, is StoreResult.Conflict -> onFailure("unexpected status")

            StoreResult.TooLarge -> onFailure("page too large")

            is StoreResult.EraChanged -> onFailure("response of an earlier era")
        }
    }

    private suspend fun watchFrom(listing: Listing) {
        var revision = listing.revision
        var failures = 0
        val relistAtMs = clock.nowMs() + relistDelayMs(listing)
        while (true) {
            // A watch that begins in an outage may hang for its full wait after the outage ends.
            val waitMs = if (failures == 0) watchMs else OUTAGE_WATCH_MS
            callStartedAtMs = clock.nowMs()
            when (val result = store.watch(kind, revision, waitMs, listing.era)) {
                is StoreResult.Done -> {
                    onSuccess()
                    failures = 0
                    relistsInRow = 0
                    observer.onChanges(result.value)
                    revision = result.value.revision
                    // Changes come in bursts; undelayed, every host would call for each change.
                    if (!result.value.isEmpty) delay(BURST_DELAY_MS)
                    if (!listing.isComplete && clock.nowMs() >= relistAtMs) return
                }

                is StoreResult.Unavailable -> {
                    onFailure(result.detail)
                    if (++failures >= FAILURES_TO_RELIST) return
                }

                is StoreResult.EraChanged -> {
                    // A late response of an earlier era; listing at once could repeat endlessly.
                    if (store.era == listing.era) onFailure("response of an earlier era")
                    return
                }

                StoreResult.Compacted, is StoreResult.Conflict -> {
                    log.stateChange("history compacted", "kind" to kind, "revision" to revision)
                    return backOffToRelist()
                }

                StoreResult.TooLarge -> {
                    log.stateChange("changes too large", "kind" to kind, "revision" to revision)
                    return backOffToRelist()
                }
            }
        }
    }

    private suspend fun onSuccess() {
        failuresInRow = 0
        val sinceMs = failingSinceMs ?: return
        failingSinceMs = null
        val durationMs = clock.nowMs() - sinceMs
        log.stateChange(
            "dependency available again",
            "dependency" to "store",
            "kind" to kind,
            "ms" to durationMs,
            "lastFailureMsAgo" to clock.nowMs() - lastFailureAtMs
        )
        observer.onStoreAvailable(lastFailureAtMs)
    }

    private suspend fun onFailure(detail: String) {
        metrics.onStoreFailure()
        lastFailureAtMs = callStartedAtMs
        if (failingSinceMs == null) {
            failingSinceMs = clock.nowMs()
            log.stateChange(
                "dependency unavailable",
                "dependency" to "store",
                "kind" to kind,
                "detail" to detail
            )
        }
        backOff(failuresInRow++)
    }

    private suspend fun backOffToRelist() {
        if (relistsInRow > 0) backOff(relistsInRow)
        relistsInRow++
    }

    private suspend fun backOff(attemptsBefore: Int) {
        val waitMs = RETRY_MS shl attemptsBefore.coerceAtMost(MAX_DOUBLINGS)
        delay(waitMs + Random.nextLong(waitMs))
    }

    private fun relistDelayMs(listing: Listing): Long = if (listing.isComplete) {
        0
    } else {
        INCOMPLETE_RELIST_MS shl (incompleteInRow - 1).coerceAtMost(MAX_RELIST_DOUBLINGS)
    }

    /** Logs when listings begin to be incomplete, and when they no longer are. */
    private fun onListingEnd(listing: Listing) {
        val end = listing.end
        if (end == null) {
            if (incompleteInRow > 0) log.stateChange("listing complete again", "kind" to kind)
            incompleteInRow = 0
            return
        }
        if (incompleteInRow++ > 0) return
        log.stateChange(
            "listing incomplete",
            "kind" to kind,
            "reason" to end.reason,
            "lastName" to end.lastName?.take(UnusableEntries.MAX_LOGGED_CHARS),
            "pages" to end.pageCount,
            "bytes" to end.receivedBytes,
            "count" to listing.objects.size,
            "notUsable" to listing.unusableCount
        )
    }

    companion object {
        /**
         * Returns how long one watch waits; longer watches are fewer calls to the store. [bounds]
         * are kept on a silent connection because the store's connections are probed: it breaks
         * within [org.bronzetide.http.ConnectionPool.SILENCE_TIMEOUT_MS], before this host counts
         * as stable.
         */
        fun watchMsWithin(bounds: HostSettings.Bounds): Long {
            val applyMs = minOf(bounds.targetDrainMs, bounds.manifestApplyMs)
            return maxOf(MIN_WATCH_MS, bounds.stabilizationMs + applyMs - WATCH_MARGIN_MS)
        }

        private const val MIN_WATCH_MS = 2_000L

        /** For the timeout of the silent call and for the calls that follow it. */
        private const val WATCH_MARGIN_MS = 2_000L

        /** The store's recovery is noticed within 2.5 s: 1.2 s of back-off and 1.2 s of a call. */
        private const val OUTAGE_WATCH_MS = 200L

        /** Well below 2 s, the bound on drains and on manifests. */
        private const val BURST_DELAY_MS = 400L
        private const val RETRY_MS = 150L

        /** Back-off stays below 1.2 s, as the bounds apply again 3 s after an outage. */
        private const val MAX_DOUBLINGS = 2
        private const val FAILURES_TO_RELIST = 2

        /**
         * How long an incomplete listing is used before the first repetition, in milliseconds. Its
         * cause lasts until another writer's entries change, and it may take hundreds of calls.
         */
        private const val INCOMPLETE_RELIST_MS = 30_000L

        /** Up to 16 minutes. */
        private const val MAX_RELIST_DOUBLINGS = 5
    }
}
