package org.bronzetide.edge.streams

import kotlinx.serialization.encodeToByteArray
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.peer.PeerMessage
import org.bronzetide.edge.peer.PeerNetwork
import org.bronzetide.edge.streams.StreamOrigins.Continuation
import org.bronzetide.platform.fleet.CallerLimits
import org.bronzetide.platform.fleet.Manifest
import org.bronzetide.scheduling.fleet.FleetTarget
import org.bronzetide.scheduling.fleet.SoftwareVersion
import org.bronzetide.scheduling.streams.StreamId
import org.bronzetide.scheduling.streams.StreamOrigin

/** Streams of routes that lead, or led, to more than one service or had a longer time limit. */
class StreamsOfChangedRoutesTest {
    private val network = PeerNetwork(seed = 2)
    private val hosts get() = network.hosts

    /** Guards against needless refusals at weighted routes whose services have one version each. */
    @Example
    fun streamOfAWeightedRouteGoesOnAtAnotherHost() {
        start("a" to listOf("1"), "b" to listOf("2"))
        hosts[0].begin("r1", "a", "1")
        network.run(1_000)
        hosts.drop(1).forEach {
            assertThat(it.find("r1", listOf("a", "b")))
                .isEqualTo(Continuation.At(StreamOrigin("a", SoftwareVersion("1"))))
        }
    }

    /** Guards against a stream that is joined as its route has been moved to another service. */
    @Example
    fun streamOfAServiceThatTheRouteHasLeftIsNotJoined() {
        start("a" to listOf("1"), "b" to listOf("2"))
        hosts[0].begin("r1", "a", "1")
        network.run(1_000)
        hosts.forEach {
            assertThat(it.find("r1", listOf("b"))).isInstanceOf(Continuation.Unknown::class.java)
        }
    }

    /** Guards against streams of an earlier, longer time limit that are joined after a change. */
    @Example
    fun shorterWindowDoesNotForgetAVersionWhoseStreamsMayBeTakenUp() {
        start("a" to listOf("1"), longestMs = 60_000)
        hosts[0].begin("r1", "a", "1")
        hosts.forEach { it.observe("a" to listOf("1", "2")) }
        network.run(1_000)
        hosts.forEach { it.observe("a" to listOf("2")) }
        // Those that know the stream are lost.
        hosts.removeIf { it.streams.find(StreamId.of("r1")) != null }
        // The manifest now has a shorter time limit; the stream began under the longer one.
        hosts.forEach { it.window.onTimeLimit(5_000) }
        network.run(15_000)
        val took = hosts.map { it.find("r1", listOf("a")) }
        assertThat(took).doesNotContain(
            Continuation.At(StreamOrigin("a", SoftwareVersion("2")))
        )
        hosts.forEach { assertThat(it.versions.windowMs).isEqualTo(120_000) }
        network.run(106_000)
        hosts.forEach { assertThat(it.versions.windowMs).isEqualTo(10_000) }
    }

    /** Guards against a stream that is joined at a host which knows only the latest routes. */
    @Example
    fun hostThatStartedAfterARouteWasMovedDoesNotJoin() {
        start("a" to listOf("1"), "b" to listOf("2"))
        hosts.forEach { it.lead("a") }
        hosts[0].begin("r1", "a", "1")
        hosts.forEach { it.lead("b") }
        network.run(1_000)
        val knowing = hosts.filter { it.streams.find(StreamId.of("r1")) != null }
        assertThat(knowing).hasSize(3)
        hosts.removeAll(knowing)
        val started = network.restart(hosts.last())
        started.lead("b")
        started.observe("a" to listOf("1"), "b" to listOf("2"))
        // The store names all versions of both services.
        started.versions.settle()
        network.run(1_000)
        hosts.forEach {
            assertThat(it.find("r1", listOf("b"))).isInstanceOf(Continuation.Unknown::class.java)
        }
    }

    /** Guards against a host that forgets sooner than others, as it knows only a short limit. */
    @Example
    fun hostThatStartedAfterTheWindowBecameShorterDoesNotJoin() {
        start("a" to listOf("1"), longestMs = 60_000)
        hosts[0].begin("r1", "a", "1")
        hosts.forEach { it.observe("a" to listOf("1", "2")) }
        network.run(1_000)
        hosts.forEach { it.observe("a" to listOf("2")) }
        hosts.removeIf { it.streams.find(StreamId.of("r1")) != null }
        hosts.forEach { it.window.onTimeLimit(5_000) }
        val started = network.restart(hosts.last())
        started.window.onTimeLimit(5_000)
        started.observe("a" to listOf("2"))
        started.versions.settle()
        network.run(15_000)
        assertThat(started.find("r1", listOf("a"))).isInstanceOf(Continuation.Unknown::class.java)
    }

    /** Guards against needless refusals on sites where a query reaches few of the hosts. */
    @Example
    fun streamOfAWeightedRouteGoesOnAtAnyOfManyHosts() {
        start("a" to listOf("1"), "b" to listOf("2"), hostCount = 24)
        hosts.forEach { it.lead("a", "b") }
        repeat(8) { hosts[0].begin("r$it", "a", "1") }
        network.run(1_000)
        hosts.removeAt(0)
        repeat(8) { stream ->
            hosts.forEach {
                assertThat(it.find("r$stream", listOf("a", "b")))
                    .isEqualTo(Continuation.At(StreamOrigin("a", SoftwareVersion("1"))))
            }
        }
    }

    /** Guards against messages of weighted routes and take-ups beyond 8 KB/s a node. */
    @Example
    fun weightedRoutesOf72HostsStayWithinTheBudget() {
        start("a" to listOf("1"), "b" to listOf("2"), hostCount = 72)
        hosts.forEach { it.lead("a", "b") }
        network.run(1_000)
        var bytes = 0L
        var streamBytes = 0L
        hosts.forEach { host ->
            host.onSent = {
                val size = PeerMessage.codec.encodeToByteArray(it).size
                bytes += size
                if (it is PeerMessage.StreamPush) streamBytes += size
            }
        }
        val seconds = 3
        repeat(seconds * 1_000 / 30) { tick ->
            hosts.forEach { it.begin("r$tick-${it.name}", "a", "1") }
            network.run(30)
        }
        val perNode = bytes / hosts.size / seconds
        println("72 hosts: ${streamBytes / hosts.size / seconds} B/s a node, $perNode B/s in all")
        assertThat(perNode).isLessThan(8_000)
        bytes = 0
        val takeUps = 720
        repeat(takeUps / 72) { round ->
            hosts.forEachIndexed { index, host ->
                val id = StreamId.of("r${round * 3}-${hosts[(index + 7) % 72].name}")
                host.origins.resolve(id, listOf("a", "b")) { }
            }
            network.run(PeerNetwork.STEP_MS)
        }
        println("$takeUps take-ups: ${bytes / takeUps} B each")
        assertThat(bytes / takeUps).isLessThan(1_000)
    }

    private fun start(
        vararg services: Pair<String, List<String>>,
        longestMs: Long = PeerNetwork.STREAM_WINDOW_MS / 2,
        hostCount: Int = 8
    ) {
        network.startHosts(hostCount)
        network.run(2_000)
        hosts.forEach {
            it.window.onTimeLimit(longestMs)
            it.observe(*services)
            it.versions.settle()
        }
        network.run(2_000)
    }

    private fun PeerNetwork.Host.observe(vararg services: Pair<String, List<String>>) {
        val targets = services.flatMap { (service, versions) ->
            versions.map {
                FleetTarget("$service$it", service, "z1", 8, false, isEngine = true, version = it)
            }
        }
        versions.updateTargets(targets, network.clock.nowMs())
        streams.updateSharedServices()
    }

    /** The only route now leads to [services]. */
    private fun PeerNetwork.Host.lead(vararg services: String) {
        val route = RouteServicesTest.route("/", *services)
        val manifest = Manifest(1, listOf(route), emptyMap(), emptyList(), CallerLimits())
        routes.update(manifest, versions.windowMs, network.clock.nowMs())
        streams.updateSharedServices()
    }

    private fun PeerNetwork.Host.begin(request: String, service: String, version: String) =
        streams.record(StreamId.of(request), StreamOrigin(service, SoftwareVersion(version)))

    private fun PeerNetwork.Host.find(request: String, services: List<String>): Continuation {
        var result: Continuation? = null
        origins.resolve(StreamId.of(request), services) { result = it }
        while (result == null) network.run(PeerNetwork.STEP_MS)
        return checkNotNull(result)
    }
}
