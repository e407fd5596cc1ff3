package org.bronzetide.edge.streams

import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.platform.fleet.CallerLimits
import org.bronzetide.platform.fleet.Manifest
import org.bronzetide.platform.fleet.Route
import org.bronzetide.platform.fleet.RouteKind
import org.bronzetide.platform.fleet.WeightedService

/** Guards against streams that go on at another service, as their route leads there since. */
class RouteServicesTest {
    private val services = RouteServices()

    @Example
    fun servicesThatShareARouteAreAmbiguousForAWindowAfterThat() {
        update(0, route("/a/", "x", "y"), route("/b/", "z"))
        assertThat(services.names).containsExactlyInAnyOrder("x", "y", "z")
        assertThat(services.ambiguous(1_000_000)).containsExactlyInAnyOrder("x", "y")
        update(5_000, route("/a/", "x"), route("/b/", "z"))
        assertThat(services.ambiguous(5_000 + WINDOW_MS - 1)).containsExactlyInAnyOrder("x", "y")
        assertThat(services.ambiguous(5_000 + WINDOW_MS)).isEmpty()
    }

    @Example
    fun serviceThatARouteIsMovedToIsAmbiguousForAWindow() {
        update(0, route("/a/", "x"), route("/b/", "z"))
        assertThat(services.ambiguous(0)).isEmpty()
        update(1_000, route("/a/", "y"), route("/b/", "z"))
        assertThat(services.isAmbiguous("y", 1_000)).isTrue()
        assertThat(services.isAmbiguous("z", 1_000)).isFalse()
        assertThat(services.isAmbiguous("y", 1_000 + WINDOW_MS)).isFalse()
    }

    @Example
    fun routeThatIsDroppedLeavesItsPathToAShorterOne() {
        update(0, route("/", "x"), route("/a/", "y"))
        update(1_000, route("/", "x"))
        assertThat(services.isAmbiguous("x", 1_000)).isTrue()
        update(2_000, route("/", "x"), route("/b/", "z"))
        assertThat(services.isAmbiguous("z", 2_000)).isTrue()
    }

    @Example
    fun routeThatIsAddedAgainWithAnotherServiceIsAmbiguousForAWindow() {
        update(0, route("/a/", "x"), route("/b/", "z"))
        update(1_000, route("/b/", "z"))
        update(2_000, route("/b/", "z"), route("/c/", "z"))
        update(3_000, route("/a/", "y"), route("/b/", "z"))
        assertThat(services.ambiguous(3_000)).containsExactlyInAnyOrder("x", "y")
        update(9_000, route("/a/", "y"))
        assertThat(services.ambiguous(1_000 + WINDOW_MS - 1)).contains("y")
        assertThat(services.ambiguous(1_000 + WINDOW_MS)).isEmpty()
    }

    @Example
    fun routeThatIsAddedAgainForALongerOrShorterPathIsAmbiguous() {
        update(0, route("/a/", "x"), route("/b/c/", "u"), route("/d/", "z"))
        update(1_000, route("/d/", "z"))
        update(2_000, route("/a/e/", "y"), route("/b/", "v"), route("/d/", "z"))
        assertThat(services.ambiguous(2_000)).containsExactlyInAnyOrder("x", "y", "u", "v")
        update(1_000 + WINDOW_MS, route("/a/f/", "w"), route("/d/", "z"))
        assertThat(services.isAmbiguous("w", 1_000 + WINDOW_MS)).isFalse()
    }

    private fun update(nowMs: Long, vararg routes: Route) {
        val manifest = Manifest(1, routes.asList(), emptyMap(), emptyList(), CallerLimits())
        services.update(manifest, WINDOW_MS, nowMs)
    }

    companion object {
        private const val WINDOW_MS = 10_000L

        fun route(path: String, vararg services: String): Route = Route(
            path,
            "h",
            path,
            RouteKind.Streaming(isResumable = true, maxEventIntervalMs = 300),
            timeoutMs = 5_000,
            targetLatencyMs = 400,
            priority = 0,
            maxAttempts = 2,
            isPublic = false,
            services.map { WeightedService(it, 1.0) }
        )
    }
}
