package org.bronzetide.edge.peer

import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.scheduling.fleet.FleetTicket

/** What targets say to one host holds on the others. */
class StatementExchangeTest {
    private var network = PeerNetwork(seed = 1)
    private val hosts get() = network.hosts

    /** Guards against requests to a target that leaves from hosts that it has not told. */
    @Property(tries = 3)
    fun departureHeardByOneHostHoldsOnAllHosts(@ForAll seed: Long) {
        for (hostCount in listOf(8, 72)) {
            network = PeerNetwork(seed, lossShare = 0.02)
            network.startHosts(hostCount)
            network.run(5_000)
            val told = hosts.random(network.random)
            val target = told.target.ref
            told.coordinator.onDeparture(target)
            network.run(1_500)
            assertThat(hosts - told).allMatch { it.departures == listOf(target) }
            val started = network.startHost()
            network.run(1_500)
            assertThat(started.departures).containsExactly(target)
        }
    }

    /** Guards against hosts that announce a departure to each other for ever. */
    @Example
    fun departureIsAnnouncedForAWhileOnly() {
        network.startHosts(8)
        network.run(2_000)
        hosts.first().coordinator.onDeparture(hosts.first().target.ref)
        network.run(70_000)
        val started = network.startHost()
        network.run(3_000)
        assertThat(started.departures).isEmpty()
    }

    /** Guards against hosts that each ask a target that has turned others away for a while. */
    @Example
    fun targetThatRestsForTwoHostsIsTheLastChoiceOfTheOthers() {
        network.startHosts(8)
        network.run(2_000)
        hosts.take(2).forEachIndexed { index, host ->
            val laterMs = network.clock.nowMs() + 5_000
            val ticket = FleetTicket(index.toLong(), "model", 0, 10, 1, laterMs, laterMs)
            host.scheduler.enroll(ticket, network.clock.nowMs()) {}
            host.scheduler.onRest(index.toLong(), network.clock.nowMs() + 2_000)
        }
        network.run(300)
        assertThat(isSuspectedByOthers()).containsOnly(true)
        network.run(2_500)
        assertThat(isSuspectedByOthers()).containsOnly(false)
    }

    private fun isSuspectedByOthers(): List<Boolean> = hosts.drop(2).map {
        it.scheduler.views(network.clock.nowMs()).single().isSuspectedByPeers
    }
}
