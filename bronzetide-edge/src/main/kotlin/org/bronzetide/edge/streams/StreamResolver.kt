package org.bronzetide.edge.streams

import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.peer.PeerMessage
import org.bronzetide.edge.streams.StoredOrigins.Found
import org.bronzetide.edge.streams.StreamOrigins.Continuation
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.scheduling.fleet.SoftwareVersion
import org.bronzetide.scheduling.streams.ServedVersions
import org.bronzetide.scheduling.streams.StreamId
import org.bronzetide.scheduling.streams.StreamOrigin

/**
 * Decides at which version a stream may go on. The first that knows decides: this host, the hosts
 * that keep the stream, the versions of the service if it had only one for as long as a stream may
 * last, or what hosts that were lost or do not reply have written to the store.
 *
 * The rule on a single version needs that this host or one that has replied knows all versions
 * within the window. It holds for requests that lead to exactly one service, as the service of the
 * stream is unknown otherwise. This host's own view of the targets may be outdated: it may be cut
 * off from the store or have stood still, and a version may have joined a moment ago. So the rule
 * also needs evidence that is younger than the request, which one of two things is:
 * - the store has been read since, and has no other version, nor the stream itself if no other host
 *   told of versions;
 * - most hosts have replied since, and none of them knows another version. A host that a version
 *   reaches tells others of it before it sends requests there, so that a version which serves
 *   without most hosts knowing it has joined at hosts that are cut off from the others. These
 *   cannot read the store, and know none that has joined since.
 *
 * Confined to the control thread.
 */
internal class StreamResolver(
    private val clock: MonotonicClock,
    private val versions: ServedVersions,
    private val exchange: StreamExchange,
    private val log: DecisionLog,
    /** Whether a stream of a route to a service may have begun at another one. */
    private val isAmbiguous: (service: String) -> Boolean,
    /** Whether this host has just started, and has yet to read the store or to find its peers. */
    private val mayKnowMoreSoon: () -> Boolean,
    /** Whether other hosts exist, whether or not this one has found any. */
    private val hasOtherHosts: Boolean,
    /**
     * Adds the versions that the store has at present, and passes on whether it could be read. The
     * result is passed on the control thread, once.
     */
    private val confirmVersions: (onResult: (Boolean) -> Unit) -> Unit,
    /**
     * Searches for a stream in the store, see [StoredOrigins.find]. The result is passed on the
     * control thread, once.
     */
    private val findInStore: (id: StreamId, sinceMs: Long, onResult: (Found) -> Unit) -> Unit
) {
    /** Passes the place where [id] may go on among [services] to [onResult], once. */
    fun resolve(id: StreamId?, services: List<String>, onResult: (Continuation) -> Unit) {
        val known = id?.let(exchange::find)
        if (known != null) return onResult(at(known, services))
        val askedAtMs = clock.nowMs()
        // A stream without a name is at no keeper; any hosts can tell the versions.
        val asked = id ?: StreamId.of(services.joinToString())
        exchange.ask(asked, services) { answer ->
            val origin = answer.origin.takeIf { id != null }
            if (origin != null) return@ask onResult(at(origin, services))
            val search = Search(id, services, answer, askedAtMs, onResult)
            when (val found = bySingleVersion(services, answer)) {
                is Continuation.At ->
                    if (hasNoneTold(found.origin.service, answer)) {
                        decideWithoutHosts(found, search)
                    } else {
                        confirm(found, search)
                    }

                is Continuation.Unknown -> searchStore(found, search)
            }
        }
    }

    /** A take-up of a stream of which no host that replied knows the origin. */
    private class Search(
        val id: StreamId?,
        val services: List<String>,
        val answer: StreamQueries.Answer,
        val askedAtMs: Long,
        val onResult: (Continuation) -> Unit
    )

    /** Whether there are other hosts, and none of them told the versions of [service]. */
    private fun hasNoneTold(service: String, answer: StreamQueries.Answer): Boolean =
        (answer.askedCount > 0 || exchange.lostPeerCount > 0) &&
            answer.replies.none { reply -> reply.tellsVersionsOf(service) }

    private fun PeerMessage.StreamReply.tellsVersionsOf(service: String): Boolean =
        services.any { it.service == service && it.versions.isNotEmpty() }

    /**
     * Decides on a stream of a service with one version while no other host tells of versions. The
     * store names the stream if its host knew of a second version, also of one that has left again
     * while this host was out of touch.
     */
    private fun decideWithoutHosts(found: Continuation.At, search: Search) {
        val refusal = Continuation.Unknown(
            "none of ${search.answer.askedCount} hosts told the versions of the service",
            RETRY_AFTER_MS
        )
        val id = search.id ?: return onUnknown(refusal, search, null)
        findInStore(id, search.askedAtMs) { stored ->
            when (stored) {
                is Found.At -> search.onResult(at(stored.origin, search.services))
                is Found.Missing -> confirm(found, search)
                is Found.Unavailable -> onUnknown(refusal, search, stored)
            }
        }
    }

    private fun confirm(found: Continuation.At, search: Search) = confirmVersions { isConfirmed ->
        val isCurrent = isConfirmed || haveMostReplied(found.origin.service, search.answer)
        val result = if (isCurrent) {
            bySingleVersion(search.services, search.answer)
        } else {
            Continuation.Unknown(
                "neither the store nor most hosts tell the versions at present",
                RETRY_AFTER_MS
            )
        }
        when (result) {
            is Continuation.At -> search.onResult(result)
            is Continuation.Unknown -> searchStore(result, search)
        }
    }

    /**
     * Searches the store for a stream that is [unknown] to the hosts that replied. Those that know
     * it may have been lost, or do not reply; without either, the store knows no more than they do.
     */
    private fun searchStore(unknown: Continuation.Unknown, search: Search) {
        val id = search.id
        val isAnySilent = search.answer.isIncomplete
        // A host that does not reply may have written until now.
        val sinceMs = if (isAnySilent) search.askedAtMs else exchange.lastLossAtMs
        if (id == null || sinceMs == null) return onUnknown(unknown, search, null)
        findInStore(id, sinceMs) { found ->
            when (found) {
                is Found.At -> search.onResult(at(found.origin, search.services))

                is Found.Missing, is Found.Unavailable -> {
                    val mayBeKnownSoon = isAnySilent || found is Found.Unavailable
                    val retryAfterMs =
                        unknown.retryAfterMs ?: RETRY_AFTER_MS.takeIf { mayBeKnownSoon }
                    onUnknown(unknown.copy(retryAfterMs = retryAfterMs), search, found)
                }
            }
        }
    }

    private fun onUnknown(unknown: Continuation.Unknown, search: Search, stored: Found?) {
        log.request(
            "stream not found",
            requestId = null,
            "stream" to search.id?.value,
            "asked" to search.answer.askedCount,
            "replied" to search.answer.replies.size,
            "lostHosts" to exchange.lostPeerCount,
            "store" to stored?.toString()
        )
        search.onResult(unknown)
    }

    /**
     * Whether this host and those that told the versions of [service] are most of all. Of a large
     * fleet some are asked, which stand for the others.
     */
    private fun haveMostReplied(service: String, answer: StreamQueries.Answer): Boolean {
        val liveCount = 1 + exchange.peerCount
        val allCount = liveCount + exchange.lostPeerCount
        if (allCount == 1) return !hasOtherHosts
        val toldCount = 1 + answer.replies.count { reply -> reply.tellsVersionsOf(service) }
        return 2 * toldCount > 1 + answer.askedCount && 2 * liveCount > allCount
    }

    private fun at(origin: StreamOrigin, services: List<String>): Continuation =
        if (origin.service in services) {
            Continuation.At(origin)
        } else {
            Continuation.Unknown("the stream began at another service, ${origin.service}")
        }

    private fun bySingleVersion(
        services: List<String>,
        answer: StreamQueries.Answer
    ): Continuation {
        val service = services.distinct().singleOrNull()
            ?: return unknown("the stream may be of ${services.distinct().size} services")
        val found = answer.replies.flatMap { it.services }.filter { it.service == service }
        val nowMs = clock.nowMs()
        // The windows of hosts differ for a time after a change of time limits.
        val served = versions.of(service, nowMs) +
            found.flatMap { it.versions }.map { SoftwareVersion(it.name) }
        val isSettled = versions.isSettled(service, nowMs) || found.any { it.isSettled }
        return when {
            isAmbiguous(service) || found.any { it.isAmbiguous } ->
                unknown("the route leads, or has led, to several services")

            served.size > 1 -> unknown("the service had ${served.size} versions")

            served.isEmpty() -> unknown("the versions of the service are not known")

            !isSettled -> unknown("earlier versions of the service are not known")

            else -> Continuation.At(StreamOrigin(service, served.single()))
        }
    }

    private fun unknown(reason: String): Continuation.Unknown =
        Continuation.Unknown(reason, if (mayKnowMoreSoon()) RETRY_AFTER_MS else null)

    private companion object {
        const val RETRY_AFTER_MS = 500L
    }
}
