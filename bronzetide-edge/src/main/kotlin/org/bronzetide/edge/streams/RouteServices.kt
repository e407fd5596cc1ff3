package org.bronzetide.edge.streams

import org.bronzetide.platform.fleet.Manifest
import org.bronzetide.platform.fleet.Route
import org.bronzetide.platform.fleet.RouteKind

/**
 * The services of routes whose streams may be resumed. A stream of a route that leads to several
 * services, or has led to another one within the window, may have begun at any of them.
 */
internal class RouteServices {
    private var manifest: Manifest? = null

    /** Until when a stream may have begun at another service of the same route. */
    private val ambiguousUntilMs = HashMap<String, Long>()

    /** The paths of each host that lead nowhere any more. */
    private val dropped = HashMap<Pair<String, String>, Dropped>()

    /** The names of the services; empty until there is a manifest. */
    var names: Set<String> = emptySet()
        private set

    /** Takes over [next]. A stream may be taken up within [windowMs] milliseconds. */
    fun update(next: Manifest, windowMs: Long, nowMs: Long) {
        val routes = next.routes.filter { it.isResumable }
        names = routes.flatMapTo(HashSet()) { it.serviceNames }
        ambiguousUntilMs.values.removeIf { it <= nowMs }
        routes.forEach { markIfSeveral(it.serviceNames, Long.MAX_VALUE) }
        val before = manifest
        manifest = next
        if (before == null) return
        // Those that led to several services until now.
        ambiguousUntilMs.replaceAll { service, untilMs ->
            val isCurrent = routes.any { service in it.serviceNames && it.serviceNames.size > 1 }
            if (untilMs == Long.MAX_VALUE && !isCurrent) nowMs + windowMs else untilMs
        }
        dropped.values.removeIf { it.untilMs <= nowMs }
        val paths = (routes + before.routes.filter { it.isResumable })
            .mapTo(HashSet(dropped.keys)) { it.host.lowercase() to it.pathPrefix }
        paths.forEach { (host, path) ->
            val earlier = before.routeFor(host, path)
            val current = next.routeFor(host, path)
            val led = listOfNotNull(earlier, current).flatMapTo(HashSet()) { it.serviceNames }
            markIfSeveral(led, nowMs + windowMs)
            if (current != null) {
                markDropped(host, path, current.serviceNames)
            } else if (earlier != null) {
                drop(host to path, led, nowMs + windowMs)
            }
        }
    }

    /** Whether a stream of a route to [service] may have begun at another service. */
    fun isAmbiguous(service: String, nowMs: Long): Boolean =
        (ambiguousUntilMs[service] ?: return false) > nowMs

    /** The services for which [isAmbiguous] holds. */
    fun ambiguous(nowMs: Long): Set<String> = ambiguousUntilMs.filterValues { it > nowMs }.keys

    private fun drop(path: Pair<String, String>, led: Set<String>, untilMs: Long) {
        dropped[path] = Dropped(led + dropped[path]?.services.orEmpty(), untilMs)
    }

    /** Marks [services], to which [path] leads, if it led to others before it was dropped. */
    private fun markDropped(host: String, path: String, services: Set<String>) {
        dropped.forEach { (before, route) ->
            if (before.first == host && path.startsWith(before.second)) {
                markIfSeveral(services + route.services, route.untilMs)
            }
        }
    }

    private fun markIfSeveral(services: Set<String>, untilMs: Long) {
        if (services.size > 1) services.forEach { ambiguousUntilMs.merge(it, untilMs, ::maxOf) }
    }

    private val Route.isResumable get() = kind is RouteKind.Streaming && kind.isSafeToRetry
    private val Route.serviceNames get() = services.mapTo(HashSet()) { it.service }

    /** The [services] of a path whose streams may be taken up until [untilMs]. */
    private class Dropped(val services: Set<String>, val untilMs: Long)
}
