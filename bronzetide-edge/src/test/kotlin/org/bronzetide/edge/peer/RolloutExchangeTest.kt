package org.bronzetide.edge.peer

import kotlinx.serialization.encodeToByteArray
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.scheduling.fleet.FleetOutcome
import org.bronzetide.scheduling.fleet.FleetTarget
import org.bronzetide.scheduling.fleet.LoadReport
import org.bronzetide.scheduling.fleet.RolloutCounts
import org.bronzetide.scheduling.fleet.RolloutDecision
import org.bronzetide.scheduling.fleet.RolloutOrder
import org.bronzetide.scheduling.fleet.RolloutReport
import org.bronzetide.scheduling.fleet.ServiceVersion
import org.bronzetide.scheduling.fleet.VersionCounts

/** What hosts know of each other's rollouts, over a network that loses messages. */
class RolloutExchangeTest {
    private val order = RolloutOrder("app", ServiceVersion("2"), 60_000)

    /** Guards against a fault that shows only in the sum and is seen by no host. */
    @Example
    fun faultThatShowsOnlyInTheSumStopsAllHostsThatHearInTime() {
        val network = PeerNetwork(seed = 1, lossShare = 0.1)
        network.startHosts(8)
        network.run(5_000)
        network.hosts.forEach { it.begin(network) }
        network.hosts.first().isIsolated = true
        network.hosts.drop(1).forEach { it.fail(network, count = 2) }
        network.run(ROLLBACK_MS)
        network.hosts.drop(1).forEach {
            assertThat(it.rollouts.decisionOn("app"))
                .isInstanceOf(RolloutDecision.RolledBack::class.java)
        }
        val isolated = network.hosts.first().rollouts
        assertThat(isolated.decisionOn("app")).isEqualTo(RolloutDecision.Undecided)
        assertThat(isolated.mayUse("app", "2", network.clock.nowMs())).isFalse()
    }

    /** Guards against the loss of the counts with the aggregator, and with hosts that restart. */
    @Example
    fun countsOutlastTheAggregator() {
        val network = PeerNetwork(seed = 2)
        network.startHosts(6)
        network.run(5_000)
        network.hosts.forEach { it.begin(network) }
        network.hosts.forEach { it.fail(network, count = 3) }
        network.hosts.removeAll { it.isAggregator() }
        network.run(ROLLBACK_MS)
        assertThat(network.hosts).hasSize(5).allSatisfy {
            assertThat(it.rollouts.decisionOn("app"))
                .isInstanceOf(RolloutDecision.RolledBack::class.java)
        }
    }

    /** Guards against hosts without the store that do not learn of a decision. */
    @Example
    fun finalDecisionReachesHostsThatDoNotKnowTheOrder() {
        val network = PeerNetwork(seed = 3)
        network.startHosts(3)
        network.run(5_000)
        network.hosts.first().begin(network)
        network.hosts.first().rollouts.onRecorded(order, RolloutDecision.Completed)
        network.run(ROLLBACK_MS)
        network.startHost()
        network.run(ROLLBACK_MS)
        assertThat(network.hosts).allSatisfy {
            assertThat(it.rollouts.isRecorded("app")).isTrue()
            assertThat(it.rollouts.mayUse("app", "1", network.clock.nowMs())).isFalse()
        }
    }

    /** Guards against messages beyond the 8 KB/s of a host, and any bytes without an order. */
    @Example
    fun reportsAreSmallAndAbsentWithoutAnOrder() {
        val counts = VersionCounts(40_000, 90, 39_910, 260_000.0, 1_900_000.0)
        val byRoute = (1..8).associate { "route-name-$it" to counts }
        val report = RolloutReport(order, 45_000, RolloutCounts(byRoute, byRoute))
        fun size(rollouts: List<RolloutReport>): Int {
            val message = LoadReport("h", emptyMap(), emptyMap(), rollouts = rollouts)
                .toMessage(crashes = null)
            if (rollouts.isEmpty()) assertThat(message.rollouts).isNull()
            assertThat(message.toLoadReport().rollouts).isEqualTo(rollouts)
            return PeerMessage.codec.encodeToByteArray<PeerMessage>(message).size
        }
        assertThat(size(listOf(report)) - size(emptyList())).isLessThan(1_000)
    }

    private fun PeerNetwork.Host.begin(network: PeerNetwork) {
        rollouts.updateTargets(
            listOf("1", "2").map { FleetTarget("t$it", "app", "z1", 8, false, false, version = it) }
        )
        rollouts.start(order, 0, network.clock.nowMs())
    }

    /** Few failures of the new version, and good responses of the old one. */
    private fun PeerNetwork.Host.fail(network: PeerNetwork, count: Int) = repeat(count * 2) {
        val nowMs = network.clock.nowMs()
        val sequence = it.toLong()
        val isNew = it % 2 == 0
        val outcome = if (isNew) FleetOutcome.ERROR else FleetOutcome.ANSWERED
        val target = if (isNew) "t2" else "t1"
        rollouts.onSend(sequence, "app", "route", target, isFirst = true, nowMs)
        rollouts.onEnd(sequence, outcome, nowMs + it)
    }

    private companion object {
        const val ROLLBACK_MS = 5_000L
    }
}
