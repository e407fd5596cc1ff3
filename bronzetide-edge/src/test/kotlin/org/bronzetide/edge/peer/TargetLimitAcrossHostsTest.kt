package org.bronzetide.edge.peer

import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.assertj.core.api.Assertions.assertThat
import org.assertj.core.api.SoftAssertions
import org.bronzetide.scheduling.fleet.FleetTarget
import org.bronzetide.scheduling.fleet.TargetStart

/** What a target gets from all hosts together after it has named how many requests it takes. */
class TargetLimitAcrossHostsTest {
    private var network = PeerNetwork(seed = 1)
    private var traffic = LimitedTargetTraffic(network)
    private val hosts get() = network.hosts

    /** Guards against hosts that each send what the target takes from all of them together. */
    @Property(tries = 1)
    fun floodOfAllHostsStaysWithinTheLimitOfATarget(@ForAll seed: Long) =
        forEachSizeAndLimit { hostCount, perSecond ->
            start(seed, hostCount, perSecond)
            traffic.run(10_000)
        }

    /** Guards against a target that is left idle while some or all of the hosts have requests. */
    @Property(tries = 1)
    fun targetIsUsedUpToItsLimitByTheHostsThatHaveRequests(@ForAll seed: Long) =
        forEachSizeAndLimit { hostCount, perSecond ->
            for (busyHosts in BusyHosts.entries) {
                start(seed, hostCount, perSecond, lossShare = 0.0)
                val busy = when (busyHosts) {
                    BusyHosts.AGGREGATOR -> hosts.filter { it.isAggregator() }
                    BusyHosts.ONE_OTHER -> hosts.filterNot { it.isAggregator() }.take(1)
                    BusyHosts.QUARTER -> hosts.take(hostCount / 4)
                    BusyHosts.ALL -> hosts
                }
                traffic.isBusy = { it in busy }
                traffic.run(4_000)
                traffic.arrivals.clear()
                traffic.run(10_000)
                assertThatTargetIsUsed(perSecond, 10_000)
            }
        }

    /** Guards against permits of two aggregators at once, and hosts that know of no limit. */
    @Property(tries = 1)
    fun floodThroughTheLossOfTheAggregatorStaysWithinTheLimit(@ForAll seed: Long) =
        forEachSizeAndLimit { hostCount, perSecond ->
            start(seed, hostCount, perSecond)
            traffic.run(4_000)
            repeat(3) {
                val aggregator = hosts.filter { it.isAggregator() }
                hosts.forEach { it.isIsolated = it in aggregator }
                traffic.run(3_000)
            }
        }

    /** Guards against hosts that each begin with a permit as they lose each other. */
    @Property(tries = 1)
    fun floodOfHostsThatLoseEachOtherStaysWithinTheLimit(@ForAll seed: Long) =
        forEachSizeAndLimit { hostCount, perSecond ->
            start(seed, hostCount, perSecond)
            traffic.run(4_000)
            for (share in listOf(0.25, 1.0, 0.5, 0.0)) {
                hosts.forEach { it.isIsolated = network.random.nextDouble() < share }
                traffic.run(4_000)
            }
        }

    /** Guards against the same in a flood that begins after a calm. */
    @Property(tries = 1)
    fun floodThatBeginsWhileHostsAreIsolatedStaysWithinTheLimit(@ForAll seed: Long) =
        forEachSizeAndLimit { hostCount, perSecond ->
            start(seed, hostCount, perSecond)
            traffic.run(3_000)
            traffic.isBusy = { false }
            hosts.forEach { it.isIsolated = true }
            traffic.run(8_000)
            traffic.isBusy = { true }
            traffic.run(8_000)
        }

    /** Guards against hosts that start and know nothing of limits and of permits in use. */
    @Property(tries = 1)
    fun floodThroughRestartsStaysWithinTheLimit(@ForAll seed: Long) =
        forEachSizeAndLimit { hostCount, perSecond ->
            start(seed, hostCount, perSecond)
            traffic.run(4_000)
            repeat(6) {
                network.replace(hosts.drop(1).random(network.random))
                traffic.run(700)
            }
            traffic.run(3_000)
            network.restartAll()
            traffic.run(6_000)
        }

    /** Guards against responses and reports from before a change that undo it. */
    @Property(tries = 1)
    fun floodStaysWithinALimitThatIsLowered(@ForAll seed: Long) {
        val softly = SoftAssertions()
        for (hostCount in hostCounts) {
            start(seed, hostCount, perSecond = 20.0)
            traffic.run(6_000)
            traffic.perSecond = 1.0
            traffic.run(2_000)
            traffic.arrivals.clear()
            traffic.run(10_000)
            softly.check { assertThatLimitHolds(1.0) }
        }
        softly.assertAll()
    }

    /** Guards against a limit that holds on a host that does not hear of its end. */
    @Property(tries = 1)
    fun limitEndsOnAllHostsSoonAfterTheTargetNamesNone(@ForAll seed: Long) {
        for (hostCount in hostCounts) {
            start(seed, hostCount, perSecond = 1.0, lossShare = 0.0)
            traffic.run(6_000)
            traffic.perSecond = null
            traffic.run(5_000)
            assertThat(hosts).allMatch { it.scheduler.limits.perSecond(it.target.ref) == null }
            traffic.perSecond = 5.0
            traffic.run(2_000)
            assertThat(hosts).allMatch { it.scheduler.limits.perSecond(it.target.ref) == 5.0 }
        }
    }

    /** Guards against a limit that outlives the start of the target that named it. */
    @Example
    fun anotherStartOfATargetHasNoLimit() {
        start(seed = 1, hostCount = 8, perSecond = 1.0)
        traffic.run(4_000)
        traffic.isBusy = { false }
        traffic.run(1_000)
        val again = hosts.first().target.copy(start = TargetStart(7))
        hosts.forEach { it.scheduler.updateTargets(listOf(again)) }
        assertThat(hosts).allMatch { it.scheduler.limits.perSecond(again.ref) == null }
        network.run(1_000)
        assertThat(hosts).allMatch { it.scheduler.limits.perSecond(again.ref) == null }
    }

    /** Guards against an entry that is missing for a while and takes the limit with it. */
    @Example
    fun limitOutlastsAMissingEntryOfItsTarget() {
        start(seed = 1, hostCount = 8, perSecond = 1.0)
        traffic.run(4_000)
        val target = hosts.first().target
        hosts.forEach { it.scheduler.updateTargets(emptyList<FleetTarget>()) }
        traffic.run(2_000)
        hosts.forEach { it.scheduler.updateTargets(listOf(target)) }
        traffic.run(6_000)
        assertThatLimitHolds(1.0)
    }

    private fun forEachSizeAndLimit(scenario: (hostCount: Int, perSecond: Double) -> Unit) {
        val softly = SoftAssertions()
        for (hostCount in hostCounts) {
            for (perSecond in if (hostCount == 72) listOf(1.3, 20.0) else listOf(1.0, 5.0)) {
                softly.check {
                    scenario(hostCount, perSecond)
                    assertThatLimitHolds(perSecond)
                }
            }
        }
        softly.assertAll()
    }

    private fun assertThatLimitHolds(perSecond: Double) {
        assertThat(traffic.mostInWindow()).describedAs("${hosts.size} hosts, $perSecond a second")
            .isLessThanOrEqualTo(LimitedTargetTraffic.allowed(perSecond))
    }

    private fun assertThatTargetIsUsed(perSecond: Double, durationMs: Long) {
        assertThat(traffic.arrivals.size * 1_000.0 / durationMs)
            .describedAs("${hosts.size} hosts, $perSecond a second")
            .isGreaterThanOrEqualTo(0.9 * perSecond)
    }

    private fun start(seed: Long, hostCount: Int, perSecond: Double, lossShare: Double = 0.02) {
        network = PeerNetwork(seed, lossShare)
        network.startHosts(hostCount)
        network.run(5_000)
        traffic = LimitedTargetTraffic(network)
        traffic.perSecond = perSecond
    }

    private enum class BusyHosts { AGGREGATOR, ONE_OTHER, QUARTER, ALL }

    private companion object {
        val hostCounts = listOf(8, 72, 95)
    }
}
