package org.bronzetide.edge.streams

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.platform.fleet.FleetStore
import org.bronzetide.platform.fleet.Listing
import org.bronzetide.platform.fleet.ObjectKinds
import org.bronzetide.platform.fleet.ServiceVersionsEntry
import org.bronzetide.platform.fleet.StoreEra
import org.bronzetide.platform.fleet.StoreResult
import org.bronzetide.platform.fleet.StoredObject
import org.bronzetide.scheduling.fleet.SoftwareVersion

/**
 * The versions in service within the window, kept in the store for hosts that start after all
 * others have lost power.
 *
 * Each host lists the objects once, at its start. Only one host writes the object of a service,
 * when a version appears or was last seen a window ago. The object says whether its writer knew all
 * versions of the window and no stream at the service's routes can be of another service, and in
 * which era of the store it was written. A reader does not trust an object that is not complete, is
 * of an earlier era, cannot be decoded, or is missing: the service is then not settled until the
 * reader itself has observed it for a window.
 *
 * A version that appears while the store is unavailable, or within [STEP_MS] and a call before all
 * hosts lose power, is not recorded; nothing in the store tells a later reader of it.
 *
 * The state is confined to the control thread.
 */
internal class VersionHistory(
    private val control: ControlLoop,
    private val clock: MonotonicClock,
    private val store: FleetStore,
    private val versions: ObservedVersions,
    /** Whether the whole system starts for the first time, so that no stream has begun before. */
    private val isFirstStart: Boolean,
    /** The position of this host among those that may write the object of a service. */
    private val rankFor: (service: String) -> Int,
    private val log: DecisionLog,
    private val metrics: EdgeMetrics
) {
    /** What this host knows of versions. All functions are called on the control thread. */
    interface ObservedVersions {
        /** The services that have resumable streams. */
        val services: Collection<String>

        /** How long a version counts after it was last seen, in milliseconds. */
        val windowMs: Long

        /** The versions that [service] had within the window. */
        fun of(service: String, nowMs: Long): Set<SoftwareVersion>

        /** Records versions that another host has seen. */
        fun add(service: String, versions: Set<SoftwareVersion>, nowMs: Long)

        /** Whether a stream of a route to [service] may have begun at another service. */
        fun isAmbiguous(service: String, nowMs: Long): Boolean

        /** Whether this host has observed [service] for a window. */
        fun isSettled(service: String, nowMs: Long): Boolean

        /** Called when the versions of [service] before this host's start have been added. */
        fun onSettled(service: String)

        /** Called when it is certain that no service had any versions before this host's start. */
        fun onFirstStart()
    }

    /** The object of a service as this host last saw it. */
    private class Record {
        /** The revision in [era], or `null` if there is no object. */
        var revision: Long? = null
        var era: StoreEra? = null

        /** The content; `null` if there is none or it is not usable. */
        var entry: ServiceVersionsEntry? = null

        /** Whether no other host is known to have written since. */
        var isCurrent = false

        /** Versions that this host has merged from the object, or may have written to it. */
        val merged = HashSet<String>()
        val backoff = StoreBackoff()
        var isWriter = false
        var rankedAtMs = Long.MIN_VALUE
        var rankedVersions: Set<SoftwareVersion>? = null
    }

    private sealed class Action {
        data object Read : Action()

        data class Write(val entry: ServiceVersionsEntry, val revision: Long?, val era: StoreEra?) :
            Action()
    }

    private val records = HashMap<String, Record>()
    private val settled = HashSet<String>()
    private var isSettledFromStart = false
    private val startBackoff = StoreBackoff()
    private val firstRead = CompletableDeferred<Unit>()
    private val changes = Channel<Unit>(Channel.CONFLATED)
    private var startedAtMs: Long? = null

    /** Whether a service without a record had no object when the store was listed. */
    private var isListed = false
    private var listedEra: StoreEra? = null

    /** Whether the listing at the start has succeeded, or was given up. Any thread. */
    val isRead: Boolean get() = firstRead.isCompleted

    /** Waits until [isRead], but no longer than [limitMs] milliseconds. Any thread. */
    suspend fun awaitRead(limitMs: Long) {
        withTimeoutOrNull(limitMs) { firstRead.await() }
    }

    /**
     * Whether this host knows all versions that [service] had within the window, from the store or
     * its own observation. Must be called on the control thread.
     */
    fun isSettled(service: String, nowMs: Long): Boolean =
        isSettledFromStart || service in settled || versions.isSettled(service, nowMs)

    /** Looks at once for what is due, as versions or services have changed. */
    fun wake() {
        changes.trySend(Unit)
    }

    /** Reads the store once and then writes what is due, until it is cancelled. */
    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            try {
                step()
            } catch (cause: CancellationException) {
                throw cause
            } catch (cause: Throwable) {
                // Nothing would start the history again.
                log.failure("service versions", cause)
            }
            delay(STEP_MS)
            if (isRead) withTimeoutOrNull(IDLE_STEP_MS) { changes.receive() }
        }
    }

    /** Makes one attempt at each call that is due. */
    suspend fun step() {
        if (!isRead) readAll()
        if (isRead) control.call { dueServices() }.forEach { update(it) }
    }

    private suspend fun readAll() {
        val isDue = control.call {
            val nowMs = clock.nowMs()
            startedAtMs = startedAtMs ?: nowMs
            startBackoff.mayCall(nowMs)
        }
        if (!isDue) return
        when (val result = store.list(ObjectKinds.SERVICE_VERSIONS)) {
            is StoreResult.Done -> {
                control.call { onListing(result.value) }
                firstRead.complete(Unit)
            }

            is StoreResult.Failed -> control.call { onNotRead(result.toString()) }
        }
    }

    private fun onListing(listing: Listing) {
        val objects = listing.objects
        isSettledFromStart = isFirstStart && listing.isComplete && objects.isEmpty()
        if (isSettledFromStart) versions.onFirstStart()
        objects.forEach { onObject(it.name, it) }
        isListed = listing.isComplete
        listedEra = listing.era ?: store.era
        log.stateChange(
            "service versions read",
            "count" to objects.size,
            "settled" to settled.size,
            "complete" to listing.isComplete,
            "firstStart" to isSettledFromStart.takeIf { it }
        )
    }

    private fun onNotRead(detail: String) {
        val nowMs = clock.nowMs()
        if (!startBackoff.isFailing) {
            log.stateChange("service versions not read", "detail" to detail)
        }
        startBackoff.onFailure(nowMs)
        metrics.onStoreFailure()
        val sinceMs = startedAtMs ?: nowMs
        if (nowMs - sinceMs >= versions.windowMs) firstRead.complete(Unit)
    }

    /** A service that was not listed has no object, unless it was created since. */
    private fun record(service: String): Record = records.getOrPut(service) {
        Record().apply {
            isCurrent = isListed
            era = listedEra
        }
    }

    /** Takes over the object [found] of [service], or that there is none. */
    private fun onObject(service: String, found: StoredObject?) {
        val record = record(service)
        val entry = found?.let(ObjectKinds::decodeServiceVersions)
        record.revision = found?.revision
        record.era = found?.era ?: store.era
        record.entry = entry
        record.isCurrent = true
        if (entry != null) {
            val isNew = { name: String -> name !in record.merged }
            val names = entry.versions.filter(isNew).mapTo(LinkedHashSet(), ::SoftwareVersion)
            if (names.isNotEmpty()) versions.add(service, names, clock.nowMs())
            record.merged += entry.versions
            if (entry.isComplete && entry.era == record.era && settled.add(service)) {
                versions.onSettled(service)
            }
        } else if (found != null) {
            log.stateChange(
                "stored object not usable",
                "kind" to ObjectKinds.SERVICE_VERSIONS,
                "name" to found.name,
                "revision" to found.revision
            )
        }
    }

    private fun dueServices(): List<String> {
        val nowMs = clock.nowMs()
        val started = startedAtMs ?: nowMs
        // A host that has just started does not know the others, and takes itself for the first.
        if (nowMs - started < FIRST_WRITE_DELAY_MS) return emptyList()
        var mayRank = true
        return versions.services.filter { service ->
            val record = record(service)
            val known = versions.of(service, nowMs)
            val isChanged = known != record.rankedVersions
            val isOutdated = mayRank && nowMs >= record.rankedAtMs + RANK_INTERVAL_MS
            if (isChanged || isOutdated) {
                // Ranking is linear in the number of hosts.
                if (!isChanged) mayRank = false
                updateRank(service, record, known, nowMs)
            }
            record.isWriter && record.backoff.mayCall(nowMs) && nextAction(service) != null
        }
    }

    private fun updateRank(
        service: String,
        record: Record,
        known: Set<SoftwareVersion>,
        nowMs: Long
    ) {
        record.rankedAtMs = nowMs
        record.rankedVersions = known
        record.isWriter = rankFor(service) == 0
        if (!record.isWriter) {
            record.isCurrent = false
            record.merged.clear()
        }
    }

    private suspend fun update(service: String) {
        repeat(MAX_CALLS) {
            val action = control.call { nextAction(service) } ?: return
            val isToContinue = when (action) {
                Action.Read -> {
                    val result = store.read(ObjectKinds.SERVICE_VERSIONS, service)
                    control.call { onReadBack(service, result) }
                }

                is Action.Write -> {
                    val result = write(service, action)
                    control.call { onWritten(service, action.entry, result) }
                }
            }
            if (!isToContinue) return
        }
        control.call { records.getValue(service).backoff.onFailure(clock.nowMs()) }
    }

    private suspend fun write(service: String, action: Action.Write): StoreResult<StoredObject> {
        val kind = ObjectKinds.SERVICE_VERSIONS
        val spec = action.entry.encode()
        return if (action.revision == null) {
            store.create(kind, service, spec, action.era)
        } else {
            store.replace(kind, service, spec, action.revision, action.era)
        }
    }

    /** Returns the call that the object of [service] needs, if any. On the control thread. */
    private fun nextAction(service: String): Action? {
        val record = records.getValue(service)
        if (!record.isCurrent || record.era != store.era) return Action.Read
        val entry = wantedEntry(service, record)
        val isUpToDate = entry == record.entry || (record.revision == null && entry.isEmpty)
        return if (isUpToDate) null else Action.Write(entry, record.revision, record.era)
    }

    private val ServiceVersionsEntry.isEmpty get() = versions.isEmpty()

    private fun wantedEntry(service: String, record: Record): ServiceVersionsEntry {
        val nowMs = clock.nowMs()
        val names = versions.of(service, nowMs).map { it.name }
        // Of too many, those that are stored stay, so that the object seldom changes.
        val (stored, others) = names.partition { it in record.entry?.versions.orEmpty() }
        val chosen = (stored + others).take(ServiceVersionsEntry.MAX_VERSIONS)
        val usable = chosen.filter(ServiceVersionsEntry::canHold)
        // A reader knows only the latest routes.
        val isComplete = isSettled(service, nowMs) &&
            usable.size == chosen.size &&
            !versions.isAmbiguous(service, nowMs)
        return ServiceVersionsEntry(usable.toSet(), isComplete, record.era)
    }

    /** Returns whether to continue with the next call at once. */
    private fun onReadBack(service: String, result: StoreResult<StoredObject?>): Boolean =
        when (result) {
            is StoreResult.Done -> {
                onObject(service, result.value)
                true
            }

            is StoreResult.Failed -> onFailed(service, result)
        }

    private fun onWritten(
        service: String,
        entry: ServiceVersionsEntry,
        result: StoreResult<StoredObject>
    ): Boolean {
        val record = records.getValue(service)
        record.merged += entry.versions
        return when (result) {
            is StoreResult.Done -> {
                record.revision = result.value.revision
                record.entry = entry
                record.merged.retainAll(entry.versions)
                record.backoff.onSuccess()
                metrics.onStreamStoreWrite(ObjectKinds.SERVICE_VERSIONS, "DONE")
                log.stateChange(
                    "service versions written",
                    "service" to service,
                    "versions" to entry.versions.toString(),
                    "complete" to entry.isComplete,
                    "revision" to record.revision
                )
                false
            }

            is StoreResult.Conflict -> {
                metrics.onStreamStoreWrite(ObjectKinds.SERVICE_VERSIONS, "CONFLICT")
                val current = result.current
                if (current == null) record.isCurrent = false else onObject(service, current)
                true
            }

            is StoreResult.Failed -> {
                metrics.onStreamStoreWrite(ObjectKinds.SERVICE_VERSIONS, "FAILED")
                onFailed(service, result)
            }
        }
    }

    private fun onFailed(service: String, result: StoreResult.Failed): Boolean {
        val record = records.getValue(service)
        val isRefused = result is StoreResult.Unavailable && !result.isInDoubt
        if (!isRefused) record.isCurrent = false
        if (!record.backoff.isFailing) {
            log.stateChange(
                "service versions not written",
                "service" to service,
                "detail" to result.toString()
            )
        }
        record.backoff.onFailure(clock.nowMs())
        metrics.onStoreFailure()
        return false
    }

    internal companion object {
        const val STEP_MS = 100L

        /** How often to look without a change: a version may expire, or another host end. */
        private const val IDLE_STEP_MS = 900L

        /** Peers are usually known well within it. */
        const val FIRST_WRITE_DELAY_MS = 1_500L

        /** How soon a host notices that the one before it has ended, in milliseconds. */
        const val RANK_INTERVAL_MS = 1_000L

        /** A write, a conflict or a read, and the write after it. */
        private const val MAX_CALLS = 3
    }
}
