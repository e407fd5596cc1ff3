package org.bronzetide.edge.streams

import kotlin.random.Random
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
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
import org.bronzetide.platform.fleet.StoreEra
import org.bronzetide.platform.fleet.StoreResult
import org.bronzetide.platform.fleet.StoredObject
import org.bronzetide.platform.fleet.StreamOriginsEntry
import org.bronzetide.scheduling.fleet.SoftwareVersion
import org.bronzetide.scheduling.streams.StreamOrigin

/**
 * The streams of shared services that each host has begun, kept in the store for hosts that start
 * after all others have lost power. A service is shared if it has several versions, or its routes
 * have several services.
 *
 * A host writes its own object while one of its streams belongs to a shared service, if there are
 * new ones, and empties it when no service is shared any more. Streams that began after the last
 * write of a host are lost with it, as it is not told of its end: up to
 * [SnapshotBudget.intervalMs] and the time of a call. Streams that do not fit, the oldest first,
 * are lost as well.
 *
 * A host reads the objects of all hosts once, at its start; [StoredOrigins] searches them for the
 * streams of hosts that are lost later. An origin never changes, so objects of an earlier era, or
 * of hosts that are gone, do no harm.
 *
 * The state is confined to the control thread.
 */
internal class StreamSnapshots(
    private val control: ControlLoop,
    private val clock: MonotonicClock,
    private val store: FleetStore,
    private val nodeName: String,
    private val history: VersionHistory,
    private val services: Services,
    private val budget: SnapshotBudget,
    /** Receives the streams that are read, on the control thread. */
    private val onStreams: (Map<Long, StreamOrigin>) -> Unit,
    private val log: DecisionLog,
    private val metrics: EdgeMetrics,
    private val random: Random = Random.Default
) {
    /** The services that have resumable streams. All functions are called on the control thread. */
    interface Services {
        /** Their names; empty until the first manifest is known. */
        val names: Collection<String>

        /** How long a stream and the requests that take it up may last, in milliseconds. */
        val windowMs: Long

        /**
         * Whether [service] or its routes do not tell where a stream began: it had targets of
         * several versions, or its routes led to other services as well, within the window.
         */
        fun isShared(service: String, nowMs: Long): Boolean
    }

    private class Own(val origin: StreamOrigin, val untilMs: Long)

    /** The own streams; those whose latest first event is the oldest come first. */
    private val own = LinkedHashMap<Long, Own>()

    /** The streams in the object, as far as this host knows. */
    private var written: Set<Long> = emptySet()
    private var revision: Long? = null
    private var era: StoreEra? = null

    /** Whether the object was read or written last with a known result. */
    private var isCurrent = true
    private var nextWriteAtMs: Long? = null
    private var readSinceMs: Long? = null
    private val backoff = StoreBackoff()
    private val firstRead = CompletableDeferred<Unit>()

    /** Whether the store was read at the start, or need not or could not be. Any thread. */
    val isRead: Boolean get() = firstRead.isCompleted

    /** Waits until the store was read at the start, but no longer than [limitMs]. Any thread. */
    suspend fun awaitRead(limitMs: Long) {
        withTimeoutOrNull(limitMs) { firstRead.await() }
    }

    /**
     * Records that this host relays the stream [id], which began at [origin]. Must be called on the
     * control thread.
     */
    fun onFirstEvent(id: Long, origin: StreamOrigin) {
        own.remove(id)
        own[id] = Own(origin, clock.nowMs() + services.windowMs)
        if (own.size > MAX_STREAMS) own.remove(own.keys.first())
    }

    /** Reads the store once and then writes what is due, until it is cancelled. */
    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            try {
                step()
            } catch (cause: CancellationException) {
                throw cause
            } catch (cause: Throwable) {
                // Nothing would start the snapshots again.
                log.failure("stream origins", cause)
            }
            delay(if (firstRead.isCompleted) WRITE_STEP_MS else STEP_MS)
        }
    }

    /** Makes one attempt at the call that is due. */
    suspend fun step() {
        if (!firstRead.isCompleted) readAll()
        if (firstRead.isCompleted) writeIfDue()
    }

    private suspend fun readAll() {
        if (!history.isRead || !control.call { isReadDue() }) return
        val result = if (control.call { isReadNeeded() }) {
            store.list(ObjectKinds.STREAM_ORIGINS)
        } else {
            null
        }
        control.call {
            when (result) {
                null -> firstRead.complete(Unit)

                is StoreResult.Done -> onListing(result.value)

                is StoreResult.Failed -> {
                    onFailed("stream origins not read", result)
                    giveUpReadingIfDue()
                }
            }
        }
    }

    private fun onListing(listing: Listing) {
        takeOver(listing)
        if (listing.isComplete) {
            backoff.onSuccess()
            firstRead.complete(Unit)
        } else {
            backoff.onFailure(clock.nowMs())
            giveUpReadingIfDue()
        }
    }

    private fun giveUpReadingIfDue() {
        val sinceMs = readSinceMs ?: clock.nowMs()
        if (clock.nowMs() - sinceMs >= services.windowMs) firstRead.complete(Unit)
    }

    private fun isReadDue(): Boolean {
        if (services.names.isEmpty()) return false
        val nowMs = clock.nowMs()
        readSinceMs = readSinceMs ?: nowMs
        return backoff.mayCall(nowMs)
    }

    private fun isReadNeeded(): Boolean {
        val nowMs = clock.nowMs()
        return services.names.any { services.isShared(it, nowMs) || !history.isSettled(it, nowMs) }
    }

    private fun takeOver(listing: Listing) {
        val objects = listing.objects
        era = listing.era ?: store.era
        // The own object may be among those that an incomplete listing lacks.
        isCurrent = listing.isComplete
        val streams = HashMap<Long, StreamOrigin>()
        objects.forEach { stored ->
            val found = decode(stored)
            if (stored.name == nodeName) onOwnObject(stored, found)
            streams += found
        }
        onStreams(streams)
        log.stateChange(
            "stream origins read",
            "objects" to objects.size,
            "streams" to streams.size,
            "complete" to listing.isComplete
        )
    }

    private fun decode(stored: StoredObject): Map<Long, StreamOrigin> {
        val entry = ObjectKinds.decodeStreamOrigins(stored)
        if (entry == null) {
            log.stateChange(
                "stored object not usable",
                "kind" to ObjectKinds.STREAM_ORIGINS,
                "name" to stored.name,
                "revision" to stored.revision
            )
        }
        val streams = LinkedHashMap<Long, StreamOrigin>()
        entry?.groups.orEmpty().forEach { group ->
            val origin = StreamOrigin(group.service, SoftwareVersion(group.version))
            group.ids.forEach { streams[it] = origin }
        }
        return streams
    }

    /** Takes over this host's object, which may be of an earlier start. */
    private fun onOwnObject(stored: StoredObject, found: Map<Long, StreamOrigin>) {
        revision = stored.revision
        era = stored.era ?: store.era
        isCurrent = true
        written = found.keys
        val untilMs = clock.nowMs() + services.windowMs
        val before = LinkedHashMap(own)
        own.clear()
        found.forEach { (id, origin) -> own[id] = before[id] ?: Own(origin, untilMs) }
        before.forEach { (id, stream) ->
            own.remove(id)
            own[id] = stream
        }
        while (own.size > MAX_STREAMS) own.remove(own.keys.first())
    }

    private suspend fun writeIfDue() {
        repeat(MAX_CALLS) {
            val due = control.call { dueWrite() } ?: return
            if (!due.isToRead) return write(due)
            val result = store.read(ObjectKinds.STREAM_ORIGINS, nodeName)
            val isRead = control.call { onReadBack(result) }
            if (!isRead) return
        }
    }

    private class Due(
        val streams: Map<Long, StreamOrigin>,
        val isToRead: Boolean,
        val revision: Long?,
        val era: StoreEra?
    )

    private fun dueWrite(): Due? {
        val nowMs = clock.nowMs()
        dropExpired(nowMs)
        if (nowMs < (nextWriteAtMs ?: nowMs) || !backoff.mayCall(nowMs)) return null
        val streams = streamsToStore(nowMs)
        val isChanged = streams.keys.any { it !in written } ||
            (streams.isEmpty() && written.isNotEmpty())
        // A restoration may have lost what was written, whether streams are added or not.
        val isLost = streams.isNotEmpty() && era != store.era
        if (!isChanged && !isLost) return null
        if (nowMs < updateNextWrite(nowMs)) return null
        return Due(streams, !isCurrent || (revision != null && era != store.era), revision, era)
    }

    private fun dropExpired(nowMs: Long) {
        val streams = own.values.iterator()
        while (streams.hasNext() && streams.next().untilMs <= nowMs) streams.remove()
    }

    /**
     * Returns when a write that is due now may be sent. Versions change on all hosts at once, which
     * must not make all of them write at once.
     */
    private fun updateNextWrite(nowMs: Long): Long {
        val spreadMs = budget.rateIntervalMs - SnapshotBudget.MIN_INTERVAL_MS
        val before = nextWriteAtMs
        if (before != null && nowMs - before <= spreadMs) return before
        val nextMs = if (spreadMs > 0) nowMs + random.nextLong(spreadMs) else nowMs
        nextWriteAtMs = nextMs
        return nextMs
    }

    /**
     * The newest own streams of shared services that fit, the oldest of them first. Those that are
     * stored already stay until their service is known not to be shared.
     */
    private fun streamsToStore(nowMs: Long): Map<Long, StreamOrigin> {
        val shared = services.names.filterTo(HashSet()) { services.isShared(it, nowMs) }
        if (shared.isEmpty() && written.isEmpty()) return emptyMap()
        val streams = own.entries.filter { (id, stream) ->
            val service = stream.origin.service
            service in shared || (id in written && !history.isSettled(service, nowMs))
        }
        val origins = streams.mapTo(HashSet()) { it.value.origin }
        val headBytes = origins.sumOf { budget.headBytes(it) }
        val maxStreams =
            (budget.maxBytes - headBytes).coerceAtLeast(0) / StreamOriginsEntry.ENCODED_ID_BYTES
        return streams.takeLast(maxStreams).associate { (id, stream) -> id to stream.origin }
    }

    private suspend fun write(due: Due) {
        val groups = due.streams.entries.groupBy({ it.value }, { it.key }).map { (origin, ids) ->
            StreamOriginsEntry.Group(origin.service, origin.version.name, ids)
        }
        val kind = ObjectKinds.STREAM_ORIGINS
        val spec = StreamOriginsEntry(groups).encode()
        val result = if (due.revision == null) {
            store.create(kind, nodeName, spec, era = store.era)
        } else {
            store.replace(kind, nodeName, spec, due.revision, due.era)
        }
        control.call { onWritten(due, spec.toString().length, result) }
    }

    private fun onReadBack(result: StoreResult<StoredObject?>): Boolean = when (result) {
        is StoreResult.Done -> {
            onObject(result.value)
            true
        }

        is StoreResult.Failed -> {
            onFailed("stream origins not written", result)
            false
        }
    }

    private fun onObject(found: StoredObject?) {
        if (found != null) return onOwnObject(found, decode(found))
        revision = null
        era = store.era
        isCurrent = true
        written = emptySet()
    }

    private fun onWritten(due: Due, bytes: Int, result: StoreResult<StoredObject>) {
        val kind = ObjectKinds.STREAM_ORIGINS
        when (result) {
            is StoreResult.Done -> {
                metrics.onStreamStoreWrite(kind, "DONE")
                revision = result.value.revision
                era = result.value.era ?: store.era
                written = due.streams.keys
                backoff.onSuccess()
                nextWriteAtMs = clock.nowMs() + budget.intervalMs(bytes)
            }

            is StoreResult.Conflict -> {
                metrics.onStreamStoreWrite(kind, "CONFLICT")
                val current = result.current
                if (current == null) isCurrent = false else onObject(current)
                backoff.onFailure(clock.nowMs())
            }

            is StoreResult.Failed -> {
                metrics.onStreamStoreWrite(kind, "FAILED")
                isCurrent = isCurrent && result is StoreResult.Unavailable && !result.isInDoubt
                onFailed("stream origins not written", result)
            }
        }
    }

    private fun onFailed(event: String, result: StoreResult.Failed) {
        if (!backoff.isFailing) log.stateChange(event, "detail" to result.toString())
        backoff.onFailure(clock.nowMs())
        metrics.onStoreFailure()
    }

    internal companion object {
        const val STEP_MS = 100L

        /** How often to look for new streams to be written, in milliseconds. */
        private const val WRITE_STEP_MS = 250L

        /** Bounds the memory of streams at hosts without shared services. */
        const val MAX_STREAMS = 20_000

        /** A read and the write after it. */
        private const val MAX_CALLS = 2
    }
}
