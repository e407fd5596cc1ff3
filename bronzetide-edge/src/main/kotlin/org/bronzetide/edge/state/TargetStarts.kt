package org.bronzetide.edge.state

import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.http.ConnectionPool
import org.bronzetide.http.Header
import org.bronzetide.http.OutgoingRequest
import org.bronzetide.platform.fleet.HostSettings
import org.bronzetide.platform.fleet.TargetEntry
import org.bronzetide.platform.fleet.TargetSelfReport
import org.bronzetide.scheduling.fleet.TargetRef

/**
 * Knows which targets may no longer be the start that their entries describe.
 *
 * A target at whose address nothing listened has ended. If it listens again, it is another start,
 * whose version is unknown until the store has its entry, or the path to the target was cut for a
 * moment. The target itself is asked which start it is, until it tells or has another entry. The
 * store tells only if the target states no start: an entry that it still has [REGISTRATION_MS]
 * after the end belongs to what listens there.
 *
 * An entry that was read some time ago may be that of an earlier start, though this host has seen
 * no end: it may have stood still, or be cut off from the store. The same holds after a connection
 * to the target broke off, however late this host noticed that. Before a stream goes on at such a
 * target, the target is asked as well.
 *
 * Thread-safe.
 */
internal class TargetStarts(
    private val scope: CoroutineScope,
    private val pool: ConnectionPool,
    private val time: ElapsedTime,
    private val isRegistered: (TargetEntry) -> Boolean,
    /** When the entries were last read from the store. */
    private val readAt: () -> ElapsedTime.Moment?,
    private val log: DecisionLog,
    /**
     * The age in milliseconds up to which entries are believed of targets that do not tell their
     * start; above the time between two reads of a store that is quiet.
     */
    private val maxSilentViewAgeMs: Long,
    /** Called when the result of [isInDoubt] has changed for a target. */
    private val onChange: () -> Unit
) {
    /** When each target in doubt was last found not to be the start of its entry. */
    private val doubtedAt = ConcurrentHashMap<TargetRef, ElapsedTime.Moment>()

    /** When connections to targets last broke off, or could not be made. */
    private val brokenAt = ConcurrentHashMap<TargetRef, ElapsedTime.Moment>()

    /** When targets last told that they are the start of their entries. */
    private val confirmedAt = ConcurrentHashMap<TargetRef, ElapsedTime.Moment>()

    /** Whether [target] may be another start than its entry describes. */
    fun isInDoubt(target: TargetEntry): Boolean = doubtedAt.containsKey(target.ref)

    /** Records that [target] may no longer be the start of its entry. */
    fun onEnded(target: TargetEntry) {
        if (doubtedAt.put(target.ref, time.now()) != null) return
        log.stateChange("target start in doubt", "target" to target.id)
        onChange()
        scope.launch { awaitConfirmation(target) }
    }

    /** Records that a connection to [target] broke off: what listens there may be another start. */
    fun onBroken(target: TargetEntry) {
        brokenAt[target.ref] = time.now()
    }

    /** Forgets the starts that are not among [known]. */
    fun retain(known: Set<TargetRef>) {
        brokenAt.keys.retainAll(known)
        confirmedAt.keys.retainAll(known)
    }

    /** Returns whether a stream of the entry's version may go on at [target]. */
    suspend fun mayContinueAt(target: TargetEntry): Boolean = confirm(target, MAX_VIEW_AGE_MS)

    /**
     * Asks [target] which start it is if its entry is so old that a stream which begins there may
     * be of another version; [isInDoubt] holds the result.
     */
    suspend fun beforeStreamAt(target: TargetEntry) {
        confirm(target, maxSilentViewAgeMs)
    }

    private suspend fun confirm(target: TargetEntry, maxViewAgeMs: Long): Boolean {
        if (isInDoubt(target)) return false
        val confirmed = confirmedAt[target.ref]
        val broken = brokenAt[target.ref]
        val isUnbroken =
            broken == null || (confirmed != null && confirmed.steadyMs > broken.steadyMs)
        val isCurrent = viewAgeMs() <= maxViewAgeMs ||
            (confirmed != null && time.since(confirmed) <= MAX_VIEW_AGE_MS)
        if (isUnbroken && isCurrent) return true
        val askedAt = time.now()
        val isSame = if (target.startedAtMs == 0L) null else isSameStart(target)
        if (isSame == true) confirmedAt[target.ref] = askedAt
        val isConfirmed = isSame ?: (viewAgeMs() <= maxSilentViewAgeMs)
        if (!isConfirmed) onEnded(target)
        return isConfirmed
    }

    private fun viewAgeMs(): Long = readAt()?.let(time::since) ?: Long.MAX_VALUE

    private suspend fun awaitConfirmation(target: TargetEntry) {
        try {
            while (isRegistered(target)) {
                delay(RETRY_MS)
                val doubted = doubtedAt[target.ref] ?: return
                val isConfirmed = if (target.startedAtMs == 0L) {
                    isEntryNewerThan(doubted)
                } else {
                    isSameStart(target) == true
                }
                // It may have ended again meanwhile.
                if (isConfirmed && doubtedAt.remove(target.ref, doubted)) {
                    confirmedAt[target.ref] = time.now()
                    log.stateChange("target start confirmed", "target" to target.id)
                    return
                }
            }
        } finally {
            doubtedAt.remove(target.ref)
            confirmedAt.keys.removeIf { it.id == target.id && it != target.ref }
            onChange()
        }
    }

    private fun isEntryNewerThan(doubted: ElapsedTime.Moment): Boolean {
        val read = readAt() ?: return false
        return read.steadyMs - doubted.steadyMs >= REGISTRATION_MS
    }

    /** Asks [target] whether it is the start of its entry; `null` if it does not tell. */
    private suspend fun isSameStart(target: TargetEntry): Boolean? = try {
        withTimeoutOrNull(REPORT_LIMIT_MS) { readStart(target) }?.let { it == target.startedAtMs }
    } catch (_: IOException) {
        null
    }

    private suspend fun readStart(target: TargetEntry): Long? {
        val (host, port) = target.address
        // An idle connection may lead to a process that has ended.
        return pool.open(host, port).use { connection ->
            val headers = listOf(Header("Host", target.address.toString()))
            connection.send(OutgoingRequest("GET", TargetSelfReport.PATH, headers))
            val response = connection.receive()
            if (response.status != OK) return null
            val body = response.body.readAll(MAX_REPORT_BYTES).decodeToString()
            TargetSelfReport.startedAtMsOrNull(body)
        }
    }

    companion object {
        /** Returns the age of entries, in milliseconds, that a quiet store explains. */
        fun maxSilentViewAgeMs(bounds: HostSettings.Bounds): Long =
            StoreWatcher.watchMsWithin(bounds) + SLOW_CALL_MS

        /** For a call that is slow. */
        private const val SLOW_CALL_MS = 2_000L

        private const val OK = 200
        private const val MAX_REPORT_BYTES = 1_048_576

        /** How long a target may take to report, with the connection. */
        private const val REPORT_LIMIT_MS = 500L

        /** Less than a target takes to restart at another version. */
        private const val MAX_VIEW_AGE_MS = 2_000L

        /** How often a target in doubt is asked. */
        private const val RETRY_MS = 300L

        /** A target registers within about two seconds once it reaches the store. */
        private const val REGISTRATION_MS = 2_500L
    }
}
