package org.bronzetide.edge.peer

import kotlin.random.Random
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.coordination.ManualClock
import org.bronzetide.coordination.Member
import org.bronzetide.coordination.MemberState
import org.bronzetide.coordination.Membership
import org.bronzetide.coordination.NodeId
import org.bronzetide.coordination.TimerService
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.scheduling.fleet.LoadAggregator
import org.bronzetide.scheduling.fleet.PeerKnowledge
import org.bronzetide.scheduling.fleet.QuotaLimiter

/** What a host of eight concludes from the totals of the aggregator and of its backup. */
class QuotaExchangeTest {
    private val clock = ManualClock(timeMs = 3_600_000)
    private val members = List(8) {
        Member(NodeId("n$it"), "z1", "10.0.0.${it + 1}", 7_600, 1, MemberState.ALIVE)
    }
    private val membership = Membership(members[0], clock, Random(1))
        .apply { learn(members.drop(1)) }
    private val quotas = QuotaLimiter()
    private val exchange = QuotaExchange(
        "n0",
        quotas,
        LoadAggregator(reportTimeoutMs = 1_000),
        membership,
        clock,
        TimerService(clock),
        DecisionLog(clock, omitsRequests = true),
        assumedHostCount = 8,
        send = { _, _ -> }
    )

    /** Guards against a refill at a fraction of the quota while few hosts report to the backup. */
    @Example
    fun shareOfTheQuotaFollowsThePrimaryAggregatorOnly() {
        receive("hub", hostCount = 8, isPrimary = true)
        receive("backup", hostCount = 1, isPrimary = false)
        assertThat(quotas.knowledge).isEqualTo(PeerKnowledge.Current(1.0))
    }

    /** Guards against a host that stays at its lease although only the backup responds. */
    @Example
    fun totalsOfTheBackupEndTheTimeWithoutKnowledge() {
        receive("hub", hostCount = 8, isPrimary = true)
        clock.advance(1_000)
        exchange.checkAge(INTERVAL_MS)
        assertThat(quotas.knowledge).isEqualTo(PeerKnowledge.Unknown(hostCount = 8))
        receive("backup", hostCount = 6, isPrimary = false)
        assertThat(quotas.knowledge).isEqualTo(PeerKnowledge.Current(0.75))
    }

    private fun receive(from: String, hostCount: Int, isPrimary: Boolean) {
        val message = PeerMessage.Grants(from, emptyList(), hostCount, aggregatorAgeMs = 100)
        exchange.onGrants(message, isPrimary, INTERVAL_MS)
    }

    private companion object {
        const val INTERVAL_MS = 50L
    }
}
