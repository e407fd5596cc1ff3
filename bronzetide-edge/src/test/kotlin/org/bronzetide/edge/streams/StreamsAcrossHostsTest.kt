package org.bronzetide.edge.streams

import java.io.Closeable
import kotlinx.serialization.encodeToByteArray
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.peer.PeerMessage
import org.bronzetide.edge.peer.PeerNetwork
import org.bronzetide.edge.streams.StoredOrigins.Found
import org.bronzetide.edge.streams.StreamOrigins.Continuation
import org.bronzetide.scheduling.fleet.FleetTarget
import org.bronzetide.scheduling.fleet.SoftwareVersion
import org.bronzetide.scheduling.streams.StreamId
import org.bronzetide.scheduling.streams.StreamOrigin

/** Streams that callers take up at other hosts than the ones at which they began. */
class StreamsAcrossHostsTest {
    private var network = PeerNetwork(seed = 1)
    private val hosts get() = network.hosts

    /** Guards against a chain of take-ups, each at another host, that changes the version. */
    @Example
    fun eachHostFindsTheFirstVersion() {
        start(hostCount = 8, versions = listOf("1", "2"))
        hosts[0].begin("r1", "2")
        network.run(FLUSH_MS)
        listOf(3, 5, 7).forEach { index ->
            assertThat(hosts[index].find("r1")).isEqualTo(Continuation.At(origin("2")))
            hosts[index].begin("r1", "2")
            network.run(FLUSH_MS)
        }
    }

    /** Guards against a stream that is lost with the host that began it and one of its keepers. */
    @Example
    fun streamOutlastsItsHostAndEitherKeeper() {
        (0..1).forEach { keptByIndex ->
            start(hostCount = 8, versions = listOf("1", "2"))
            hosts[0].begin("r1", "1")
            network.run(FLUSH_MS)
            val keepers = keepersOf("r1")
            hosts.removeAll(listOf(hosts[0], keepers[keptByIndex]))
            hosts.forEach {
                assertThat(it.find("r1")).isEqualTo(Continuation.At(origin("1")))
            }
        }
    }

    /** Guards against another version being chosen once nobody knows the first one. */
    @Example
    fun streamIsRefusedOnceItsHostAndBothKeepersAreLost() {
        start(hostCount = 8, versions = listOf("1", "2"), windowMs = 60_000)
        hosts[0].begin("r1", "1")
        network.run(FLUSH_MS)
        hosts.removeAll(keepersOf("r1") + hosts[0])
        hosts.forEach {
            val found = it.find("r1")
            assertThat((found as Continuation.Unknown).reason).isEqualTo(TWO_VERSIONS)
            // A host that does not reply may be alive and know the stream.
            assertMayComeBack(found)
        }
        network.run(DETECTION_MS)
        hosts.forEach { assertThat(it.find("r1")).isEqualTo(Continuation.Unknown(TWO_VERSIONS)) }
    }

    /** Guards against refusals of streams that the store has, after a loss of many hosts. */
    @Example
    fun streamsOfLostHostsGoOnByWhatTheyHaveStored() {
        listOf(8 to 1, 8 to 3, 8 to 7, 72 to 40).forEach { (hostCount, lostCount) ->
            listOf(0L, 1_500L, DETECTION_MS).forEach { sinceMs ->
                start(hostCount, versions = listOf("1", "2"), windowMs = 60_000)
                val lost = hosts.take(lostCount).toList()
                val requests = lost.flatMap { host -> List(10) { "r$it-${host.name}" to host } }
                requests.forEach { (request, host) -> host.begin(request, "1") }
                val stored = requests.map { StreamId.of(it.first) }.toSet()
                network.run(FLUSH_MS)
                network.storedOrigins = { id ->
                    if (id in stored) Found.At(origin("1")) else Found.Missing
                }
                hosts.removeAll(lost)
                network.run(sinceMs)
                val continuedCount = requests.count { (request, _) ->
                    hosts.last().find(request) == Continuation.At(origin("1"))
                }
                assertThat(continuedCount).isEqualTo(requests.size)
            }
        }
    }

    /** Guards against refusals of all streams after a loss of many hosts, without a release. */
    @Example
    fun streamsOfTheOnlyVersionGoOnAfterALossOfMostHosts() {
        listOf(0L, 1_500L, DETECTION_MS).forEach { sinceMs ->
            start(hostCount = 8, versions = listOf("1"))
            network.areVersionsConfirmed = true
            hosts[0].begin("r1", "1")
            hosts.removeAll(hosts.take(7).toList())
            network.run(sinceMs)
            assertThat(hosts[0].find("r1")).isEqualTo(Continuation.At(origin("1")))
            network.storedOrigins = { Found.Unavailable }
            assertMayComeBack(hosts[0].find("r1"))
        }
    }

    /** Guards against a version that joined and left again while the host was out of touch. */
    @Example
    fun streamOfAVersionThatHasLeftDoesNotGoOnAtTheOnlyOneKnown() {
        start(hostCount = 8, versions = listOf("1"))
        network.areVersionsConfirmed = true
        network.storedOrigins = { Found.At(origin("2")) }
        hosts.removeAll(hosts.take(7).toList())
        assertThat(hosts[0].find("r1")).isEqualTo(Continuation.At(origin("2")))
    }

    /** Guards against a caller that is told to begin anew while the store may know its stream. */
    @Example
    fun streamOfLostHostsMayBeTakenUpLaterWhileTheStoreIsAway() {
        start(hostCount = 8, versions = listOf("1", "2"), windowMs = 60_000)
        hosts[0].begin("r1", "1")
        network.run(FLUSH_MS)
        hosts.removeAll(keepersOf("r1") + hosts[0])
        network.run(DETECTION_MS)
        network.storedOrigins = { Found.Unavailable }
        hosts.forEach { assertMayComeBack(it.find("r1")) }
    }

    /** Guards against reads of the store for streams that no host has begun, without any loss. */
    @Example
    fun unknownStreamIsNotSearchedForWhileAllHostsReply() {
        start(hostCount = 8, versions = listOf("1", "2"))
        network.run(PeerNetwork.STREAM_WINDOW_MS)
        hosts.forEach { it.observe(listOf("1", "2")) }
        var searchCount = 0
        network.storedOrigins = {
            searchCount++
            Found.Missing
        }
        hosts.forEach { assertThat(it.find("r1")).isEqualTo(Continuation.Unknown(TWO_VERSIONS)) }
        assertThat(searchCount).isZero()
        network.restart(hosts[7]).observe(listOf("1", "2"))
        network.run(JOIN_MS)
        hosts.forEach { it.find("r1") }
        assertThat(searchCount).isEqualTo(8)
    }

    /** Guards against streams that are unknown as long as their host lives and keepers change. */
    @Example
    fun streamGoesToNewKeepersWhenTheOldOnesAreDead() {
        start(hostCount = 8, versions = listOf("1", "2"), windowMs = 60_000)
        repeat(100) { hosts[0].begin("r$it", "2") }
        network.run(FLUSH_MS)
        hosts.removeAll(hosts.subList(1, 3).toList())
        network.run(DETECTION_MS)
        hosts.removeAt(0)
        hosts.forEach { host ->
            repeat(100) { assertThat(host.find("r$it")).isEqualTo(Continuation.At(origin("2"))) }
        }
    }

    /** Guards against hosts that restart one after the other, with the same names, and forget. */
    @Example
    fun streamOutlastsARestartOfAllHostsOneAfterTheOther() {
        start(hostCount = 6, versions = listOf("1", "2"), windowMs = 60_000)
        repeat(20) { hosts[0].begin("r$it", "1") }
        network.run(FLUSH_MS)
        hosts.toList().forEach { host ->
            network.restart(host).observe(listOf("1", "2"))
            network.run(RESTART_INTERVAL_MS)
        }
        hosts.forEach { host ->
            repeat(20) { assertThat(host.find("r$it")).isEqualTo(Continuation.At(origin("1"))) }
        }
    }

    /** Guards against a host whose view of the targets is late and shows one version. */
    @Example
    fun hostWithALateViewIsToldThatThereAreTwoVersions() {
        start(hostCount = 8, versions = listOf("1"))
        network.losesMessage = { it is PeerMessage.StreamPush }
        hosts.drop(1).forEach { it.observe(listOf("1", "2")) }
        network.run(1_000)
        val late = hosts[0]
        assertThat(late.versions.isMixed(SERVICE, network.clock.nowMs())).isFalse()
        hosts[1].begin("r1", "2")
        network.run(FLUSH_MS)
        hosts.removeAt(1)
        assertThat((late.find("r1") as Continuation.Unknown).reason).isEqualTo(TWO_VERSIONS)
        assertThat(late.versions.isMixed(SERVICE, network.clock.nowMs())).isTrue()
    }

    /** Guards against a version that only one host has seen when that host is killed. */
    @Example
    fun firstHostToSeeASecondVersionTellsTheOthers() {
        start(hostCount = 24, versions = listOf("1"))
        hosts[0].observe(listOf("1", "2"))
        network.run(PeerNetwork.STEP_MS)
        val told = hosts.count { it.versions.isMixed(SERVICE, network.clock.nowMs()) }
        assertThat(told).isGreaterThanOrEqualTo(22)
    }

    /** Guards against hosts that keep a version known by telling each other of it. */
    @Example
    fun versionThatLeftIsForgottenEverywhereAfterAWindow() {
        start(hostCount = 8, versions = listOf("1", "2"))
        hosts.forEach { it.observe(listOf("2")) }
        repeat((PeerNetwork.STREAM_WINDOW_MS / 1_000).toInt()) { second ->
            hosts.forEach { host -> host.find("r$second-${host.name}", checked = false) }
            network.run(1_000)
        }
        assertThat(hosts).noneMatch { it.versions.isMixed(SERVICE, network.clock.nowMs()) }
        hosts.forEach { assertThat(it.find("r1")).isEqualTo(Continuation.At(origin("2"))) }
    }

    /** Guards against a wrong version, in place of a refusal, when messages are lost. */
    @Property(tries = 20)
    fun lostMessagesLeadToRefusals(@ForAll seed: Long) {
        network = PeerNetwork(seed, lossShare = 0.4)
        start(hostCount = 6, versions = listOf("1"))
        hosts.drop(1).forEach { it.observe(listOf("1", "2")) }
        repeat(40) { hosts[1 + it % 5].begin("r$it", "2") }
        network.run(FLUSH_MS)
        val found = hosts.flatMap { host -> (0 until 40).map { host.find("r$it") } }
        assertThat(found).doesNotContain(Continuation.At(origin("1")))
    }

    /** Guards against a decision of a host that reaches none of the others. */
    @Example
    fun isolatedHostRefuses() {
        start(hostCount = 4, versions = listOf("1"))
        hosts[0].isIsolated = true
        assertThat(hosts[0].find("r1")).isInstanceOf(Continuation.Unknown::class.java)
        assertThat(hosts[1].find("r1")).isEqualTo(Continuation.At(origin("1")))
    }

    /** Guards against a host that was cut off and takes the version it knows for the only one. */
    @Example
    fun hostThatTakesAllOthersForDeadRefuses() {
        start(hostCount = 4, versions = listOf("1"))
        hosts[0].isIsolated = true
        hosts.drop(1).forEach { it.observe(listOf("1", "2")) }
        network.run(DETECTION_MS)
        assertThat(hosts[0].streams.hasPeers).isFalse()
        assertMayComeBack(hosts[0].find("r1"))
    }

    /** Guards against hosts that are cut off together and confirm each other's outdated view. */
    @Example
    fun hostsThatAreCutOffTogetherRefuse() {
        listOf(0L, DETECTION_MS).forEach { cutMs ->
            start(hostCount = 7, versions = listOf("1"))
            val cutOff = hosts.take(3)
            network.isSeparated = { from, to -> (from in cutOff) != (to in cutOff) }
            hosts.drop(3).forEach { it.observe(listOf("1", "2")) }
            network.run(cutMs)
            cutOff.forEach { assertMayComeBack(it.find("r1")) }
        }
    }

    /** Guards against refusals in an outage of the store, where no host can have a newer view. */
    @Example
    fun mostHostsDecideWithoutTheStore() {
        listOf(0L, DETECTION_MS).forEach { cutMs ->
            start(hostCount = 7, versions = listOf("1"))
            val cutOff = hosts.take(3)
            network.isSeparated = { from, to -> (from in cutOff) != (to in cutOff) }
            network.run(cutMs)
            hosts.drop(3).forEach {
                assertThat(it.find("r1")).isEqualTo(Continuation.At(origin("1")))
            }
        }
        start(hostCount = 1, versions = listOf("1"))
        assertThat(hosts[0].find("r1")).isEqualTo(Continuation.At(origin("1")))
    }

    /** Guards against refusals and messages where there is one version, as there usually is. */
    @Example
    fun streamsOfOneVersionCostNothingUntilTheyAreTakenUp() {
        start(hostCount = 4, versions = listOf("1"))
        Traffic().use { traffic ->
            repeat(100) { hosts[0].begin("r$it", "1") }
            network.run(1_000)
            assertThat(traffic.streamBytes).isZero()
        }
        hosts.removeAt(0)
        hosts.forEach { assertThat(it.find("r1")).isEqualTo(Continuation.At(origin("1"))) }
    }

    /** Guards against streams that began before there was a second version and are then unknown. */
    @Example
    fun streamsThatRunAreSentWhenASecondVersionComes() {
        start(hostCount = 8, versions = listOf("1"))
        repeat(50) { hosts[0].begin("r$it", "1") }
        network.run(1_000)
        hosts.forEach { it.observe(listOf("1", "2")) }
        network.run(2_000)
        hosts.removeAt(0)
        hosts.forEach { host ->
            repeat(50) { assertThat(host.find("r$it")).isEqualTo(Continuation.At(origin("1"))) }
        }
    }

    /** Guards against hosts that start together and take what they see for all there was. */
    @Example
    fun hostsThatAllRestartRefuseUntilTheyKnowTheVersions() {
        start(hostCount = 3, versions = listOf("1"))
        network.restartAll()
        hosts.forEach { it.observe(listOf("2")) }
        network.run(500)
        val refused = hosts[0].find("r1") as Continuation.Unknown
        assertThat(refused.retryAfterMs).isNotNull()
        network.run(5_000)
        assertThat((hosts[0].find("r1") as Continuation.Unknown).retryAfterMs).isNull()
        hosts[1].versions.settle()
        assertThat(hosts[0].find("r1")).isEqualTo(Continuation.At(origin("2")))
        hosts[2].versions.add(SERVICE, setOf(SoftwareVersion("1")), network.clock.nowMs())
        assertThat(hosts[0].find("r1")).isEqualTo(Continuation.Unknown(TWO_VERSIONS))
    }

    /** Guards against a stream of one service that goes on at another one of the route. */
    @Example
    fun routeThatLeadsToSeveralServices() {
        start(hostCount = 3, versions = listOf("1", "2"))
        hosts[0].begin("r1", "1")
        network.run(FLUSH_MS)
        val services = listOf(SERVICE, "other")
        assertThat(hosts[1].find("r1", services)).isEqualTo(Continuation.At(origin("1")))
        assertThat(hosts[1].find("r1", listOf("other")))
            .isInstanceOf(Continuation.Unknown::class.java)
        start(hostCount = 3, versions = listOf("1"))
        assertThat(hosts[1].find("r2", services)).isInstanceOf(Continuation.Unknown::class.java)
        assertThat(hosts[1].find(null)).isEqualTo(Continuation.At(origin("1")))
    }

    /** Guards against the loss of the streams that the store had when the host started. */
    @Example
    fun streamsFromTheStoreAreFoundAtOtherHosts() {
        start(hostCount = 3, versions = listOf("1", "2"))
        hosts[0].streams.addFromStore(StreamId.of("r1"), origin("2"))
        hosts.forEach { assertThat(it.find("r1")).isEqualTo(Continuation.At(origin("2"))) }
        hosts[1].begin("r2", "1")
        assertThat(hosts[1].streams.liveOwn()).isEqualTo(mapOf(StreamId.of("r2") to origin("1")))
    }

    /** Guards against messages that grow with the number of hosts beyond 8 KB/s a node. */
    @Example
    fun streamsOf72HostsStayWithinTheBudget() {
        val names = listOf("2026.12.1-stable", "2026.12.2-stable")
        start(hostCount = 72, versions = names)
        network.run(1_000)
        Traffic().use { traffic ->
            val seconds = 3
            repeat(seconds * 1_000 / 30) { tick ->
                hosts.forEach { it.begin("r$tick-${it.name}", names[tick % 2]) }
                network.run(30)
            }
            val perNode = traffic.streamBytes / hosts.size / seconds
            val perNodeInAll = traffic.bytes / hosts.size / seconds
            println("72 hosts: $perNode B/s a node for streams, $perNodeInAll B/s in all")
            assertThat(perNode).isLessThan(4_000)
            assertThat(perNodeInAll).isLessThan(8_000)
            assertThat(traffic.largest).isLessThan(1_400)
        }
    }

    /** Guards against datagrams that do not fit into a packet, and a burst of them. */
    @Example
    fun streamsOfALongTimeAreSentAtABoundedRate() {
        start(hostCount = 3, versions = listOf("1"), windowMs = 120_000)
        repeat(2_000) { hosts[0].begin("r$it", "1") }
        Traffic().use { traffic ->
            hosts.forEach { it.observe(listOf("1", "2".repeat(300))) }
            network.run(1_000)
            assertThat(traffic.streamBytes).isBetween(1_000, 6_000)
            network.run(20_000)
            assertThat(traffic.largest).isLessThan(1_400)
        }
        hosts.removeAt(0)
        repeat(2_000) { assertThat(hosts[0].find("r$it")).isEqualTo(Continuation.At(origin("1"))) }
    }

    /** Restarts the network with hosts that have all observed [versions] for a window. */
    private fun start(
        hostCount: Int,
        versions: List<String>,
        windowMs: Long = PeerNetwork.STREAM_WINDOW_MS
    ) {
        if (hosts.isNotEmpty()) network = PeerNetwork(seed = 2)
        network.startHosts(hostCount)
        network.run(JOIN_MS)
        hosts.forEach {
            it.versions.windowMs = windowMs
            it.observe(versions)
            it.versions.settle()
        }
        network.run(JOIN_MS)
    }

    private fun assertMayComeBack(found: Continuation?) {
        assertThat(found).isInstanceOf(Continuation.Unknown::class.java)
        assertThat((found as Continuation.Unknown).retryAfterMs).isNotNull()
    }

    private fun keepersOf(request: String): List<PeerNetwork.Host> {
        val id = StreamId.of(request)
        return hosts.drop(1).filter { it.streams.find(id) != null }.also {
            assertThat(it).hasSize(2)
        }
    }

    private fun PeerNetwork.Host.observe(versions: List<String>) {
        versions(versions)
        streams.updateSharedServices()
    }

    private fun PeerNetwork.Host.versions(names: List<String>) = versions.updateTargets(
        names.map { version ->
            FleetTarget("t$version", SERVICE, "z1", 8, false, isEngine = true, version = version)
        },
        network.clock.nowMs()
    )

    private fun PeerNetwork.Host.begin(request: String, version: String) =
        streams.record(StreamId.of(request), origin(version))

    private fun PeerNetwork.Host.find(
        request: String?,
        services: List<String> = listOf(SERVICE),
        checked: Boolean = true
    ): Continuation? {
        var result: Continuation? = null
        val id = request?.let(StreamId::of)
        val startedAtMs = network.clock.nowMs()
        origins.resolve(id, services) { result = it }
        while (result == null) network.run(PeerNetwork.STEP_MS)
        if (checked) assertThat(network.clock.nowMs() - startedAtMs).isLessThanOrEqualTo(100)
        return result
    }

    /** Counts the messages on streams of all hosts. */
    private inner class Traffic : Closeable {
        var bytes = 0L
        var streamBytes = 0L
        var largest = 0

        init {
            hosts.forEach { host -> host.onSent = ::count }
        }

        private fun count(message: PeerMessage) {
            val size = PeerMessage.codec.encodeToByteArray(message).size
            bytes += size
            if (message !is PeerMessage.StreamPush) return
            streamBytes += size
            largest = maxOf(largest, size)
        }

        override fun close() = hosts.forEach { it.onSent = null }
    }

    private companion object {
        const val SERVICE = "chat"
        const val JOIN_MS = 2_000L

        /** For a stream to reach its keepers. */
        const val FLUSH_MS = 100L

        /** For a host that is killed to be known to be dead, and its streams to be sent on. */
        const val DETECTION_MS = 15_000L
        const val RESTART_INTERVAL_MS = 3_000L
        const val TWO_VERSIONS = "the service had 2 versions"

        fun origin(version: String) = StreamOrigin(SERVICE, SoftwareVersion(version))
    }
}
