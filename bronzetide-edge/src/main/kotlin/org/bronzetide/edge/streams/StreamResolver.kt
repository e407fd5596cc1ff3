package org.bronzetide.edge.streams

import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.streams.StreamOrigins.Continuation
import org.bronzetide.scheduling.fleet.SoftwareVersion
import org.bronzetide.scheduling.streams.ServedVersions
import org.bronzetide.scheduling.streams.StreamId
import org.bronzetide.scheduling.streams.StreamOrigin

/**
 * Decides at which version a stream may go on. The first that knows decides: this host, the hosts
 * that keep the stream, or the versions of the service if it had only one for as long as a stream
 * may last.
 *
 * The last rule needs that this host or one that has replied knows all versions within the window,
 * and, unless all others are dead, that one of them has replied: this host's own view of the
 * targets may be late. It holds for requests that lead to exactly one service, as the service of
 * the stream is unknown otherwise.
 *
 * Confined to the control thread.
 */
internal class StreamResolver(
    private val clock: MonotonicClock,
    private val versions: ServedVersions,
    private val exchange: StreamExchange,
    /** Whether a stream of a route to a service may have begun at another one. */
    private val isAmbiguous: (service: String) -> Boolean,
    /** Whether this host has just started, and has yet to read the store or to find its peers. */
    private val mayKnowMoreSoon: () -> Boolean
) {
    /** Passes the place where [id] may go on among [services] to [onResult], once. */
    fun resolve(id: StreamId?, services: List<String>, onResult: (Continuation) -> Unit) {
        val known = id?.let(exchange::find)
        if (known != null) return onResult(at(known, services))
        // A stream without a name is at no keeper; any hosts can tell the versions.
        val asked = id ?: StreamId.of(services.joinToString())
        exchange.ask(asked, services) { answer ->
            val origin = answer.origin.takeIf { id != null }
            onResult(origin?.let { at(it, services) } ?: bySingleVersion(services, answer))
        }
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

            answer.askedCount > 0 && found.all { it.versions.isEmpty() } ->
                Continuation.Unknown(
                    "none of ${answer.askedCount} hosts told the versions of the service",
                    RETRY_AFTER_MS
                )

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
