package org.bronzetide.edge.peer

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.assertj.core.api.Assertions.assertThat

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
}
